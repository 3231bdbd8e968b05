package org.sesamedeck.request;

import java.util.List;
import java.util.Optional;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.quarantine.PartKey;
import org.sesamedeck.routing.quarantine.PartQuarantine;
import org.sesamedeck.routing.quarantine.QuarantinedPart;

/**
 * Applies the quarantine of prompt parts to one request, and tells the quarantine what happens to
 * its calls. The last part of a prompt belongs to the request alone and is left out: no other
 * request could show whether it is sound.
 */
final class PromptPartGuard {
    private final PartQuarantine mQuarantine;
    private final Router mRouter;
    private final List<PartKey> mParts;
    private boolean mIsTest;

    private PromptPartGuard(PartQuarantine quarantine, Router router, List<PartKey> parts) {
        mQuarantine = quarantine;
        mRouter = router;
        mParts = parts;
    }

    /** Returns the guard of a request with the given prompt. */
    static PromptPartGuard of(
            PartQuarantine quarantine, Router router, String target, List<PromptPart> parts) {
        List<PartKey> shared =
                parts.subList(0, Math.max(0, parts.size() - 1)).stream()
                        .map(part -> PartKey.of(target, part.identifier()))
                        .toList();
        return new PromptPartGuard(quarantine, router, shared);
    }

    /**
     * Returns the quarantined part for which the request must not be sent; empty also when the
     * request is the test of its quarantined parts.
     */
    Optional<QuarantinedPart> refusal() {
        Optional<QuarantinedPart> quarantined = quarantinedPart();
        if (quarantined.isEmpty()) {
            return quarantined;
        }
        mIsTest = mQuarantine.tryTest(mParts);
        return mIsTest ? Optional.empty() : quarantined;
    }

    /** Returns the quarantined part for which a request that was sent should be ended. */
    Optional<QuarantinedPart> quarantinedPart() {
        return mParts.isEmpty() || mIsTest ? Optional.empty() : mQuarantine.find(mParts);
    }

    /** Returns the cause that the caller of a request with the quarantined part is told. */
    static String cause(QuarantinedPart quarantined) {
        return "prompt part "
                + quarantined.part().partName()
                + " is quarantined: "
                + quarantined.endpoints().size()
                + " endpoints crashed under requests with it";
    }

    /** Returns whether the request may be sent to another endpoint after one has crashed. */
    boolean mayRepeat() {
        return mParts.isEmpty() || !mIsTest && mQuarantine.mayRepeat(mParts);
    }

    /** Records a response that has begun or goes on; see {@link PartQuarantine#responded}. */
    void responded(String endpoint, long sentAtNanos) {
        mQuarantine.responded(endpoint, sentAtNanos);
    }

    /** Records an answer; see {@link PartQuarantine#answered}. */
    void answered(long beganAtNanos) {
        mQuarantine.answered(mParts, beganAtNanos);
    }

    /**
     * Records that the connection to an endpoint was lost before its answer was whole or had gone
     * on for long. An endpoint that is leaving ends as planned, and says nothing about its calls.
     */
    void interrupted(String endpoint, boolean hasBegun) {
        if (!mParts.isEmpty() && mRouter.isServing(endpoint)) {
            mQuarantine.interrupted(mParts, endpoint, hasBegun);
        }
    }
}
