package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.sesamedeck.core.Clock;

/**
 * Decides which endpoints receive no requests because of what they stated in their responses.
 *
 * <p>A process that states that it leaves receives nothing more, whatever the endpoint table says;
 * the table may lag or be out of reach. An endpoint that asks for no requests for some time is held
 * off for all of it, whatever its circuit breaker would allow. Many processes are refused at the
 * same time when load is at its worst; each adds its own random part to the hold, and then sends a
 * single request first, so that they do not return together. Thread-safe.
 */
final class EndpointExclusions {
    /** Upper bound of the random part of a hold, as a fraction of the time asked for. */
    private static final double HOLD_SPREAD = 0.25;

    private static final double MAX_HOLD_SPREAD_NANOS = 1e9;

    private final Clock mClock;
    private final boolean mRolesAreStrict;
    private final SplittableRandom mRandom;
    private final LeavingEndpoints mLeavingEndpoints = new LeavingEndpoints();

    EndpointExclusions(Clock clock, boolean rolesAreStrict, long seed) {
        mClock = clock;
        mRolesAreStrict = rolesAreStrict;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Applies what an endpoint stated.
     *
     * @param endpoint the endpoint as it was described when the request was sent
     * @param state state of the endpoint of that name in the table; empty if it is not listed
     * @return the exclusion of the endpoint, if it is new or lasts longer than before
     */
    synchronized Optional<EndpointExclusion> apply(
            EndpointDescription endpoint, Optional<EndpointState> state, EndpointSigns signs) {
        Optional<EndpointState> current =
                state.filter(known -> known.description().isSameProcess(endpoint));
        if (!signs.isLeaving()) {
            return signs.retryAfter()
                    .flatMap(time -> current.flatMap(known -> hold(known, time.toNanos())));
        }
        boolean isNew = mLeavingEndpoints.add(endpoint);
        current.ifPresent(EndpointState::statedLeaving);
        return isNew
                ? Optional.of(
                        new EndpointExclusion(EndpointExclusion.Cause.LEAVING, Optional.empty()))
                : Optional.empty();
    }

    private Optional<EndpointExclusion> hold(EndpointState state, long nanos) {
        double maxSpread = Math.min(HOLD_SPREAD * nanos, MAX_HOLD_SPREAD_NANOS);
        long heldNanos = nanos + (long) (maxSpread * mRandom.nextDouble());
        boolean isExtended = nanos > 0 && state.hold().extendTo(mClock.nanoTime() + heldNanos);
        return isExtended
                ? Optional.of(
                        new EndpointExclusion(
                                EndpointExclusion.Cause.RETRY_AFTER,
                                Optional.of(Duration.ofNanos(heldNanos))))
                : Optional.empty();
    }

    /** Returns whether the described process has stated that it is leaving. */
    boolean hasStatedLeaving(EndpointDescription endpoint) {
        return mLeavingEndpoints.contains(endpoint);
    }

    /** Returns whether the endpoint may receive requests as far as its statements go. */
    boolean accepts(EndpointDescription endpoint, Optional<EndpointState> state) {
        boolean isHeld =
                state.filter(known -> known.description().isSameProcess(endpoint))
                        .map(known -> known.hold().isActive())
                        .orElse(false);
        return !isHeld && !hasStatedLeaving(endpoint);
    }

    /** Returns whether all endpoints that may respond to a request are held off. */
    boolean areAllHeld(Candidates candidates) {
        boolean isAnyHeld = false;
        for (EndpointState state : candidates.all()) {
            if (mayRespond(state)) {
                if (!state.hold().isActive()) {
                    return false;
                }
                isAnyHeld = true;
            }
        }
        return isAnyHeld;
    }

    /**
     * Returns the time until the first endpoint that may respond is usable.
     *
     * @return empty if one is usable now, or if none has said or shown when it will be
     */
    Optional<Duration> timeUntilUsable(Candidates candidates) {
        long earliest = Long.MAX_VALUE;
        for (EndpointState state : candidates.all()) {
            if (mayRespond(state) && !state.description().isChanging()) {
                earliest = Math.min(earliest, state.nanosUntilUsable());
            }
        }
        return earliest == 0 || earliest == Long.MAX_VALUE
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(earliest));
    }

    /** Returns whether the endpoint stays and serves more than the first phase of requests. */
    private boolean mayRespond(EndpointState state) {
        boolean isPrefillOnly =
                mRolesAreStrict && state.description().role() == EndpointRole.PREFILL;
        return !isPrefillOnly && !state.isLeaving();
    }
}
