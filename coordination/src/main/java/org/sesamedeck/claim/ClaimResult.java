package org.sesamedeck.claim;

import java.util.Optional;

/**
 * Result of a claim.
 *
 * @param state state of the claim
 * @param outcome the stored outcome, present when the state is DONE
 */
public record ClaimResult(ClaimState state, Optional<ClaimOutcome> outcome) {
    /** Returns a result without a stored outcome. */
    public static ClaimResult of(ClaimState state) {
        return new ClaimResult(state, Optional.empty());
    }

    /** Returns a DONE result with the stored outcome. */
    public static ClaimResult done(ClaimOutcome outcome) {
        return new ClaimResult(ClaimState.DONE, Optional.of(outcome));
    }
}
