package org.sesamedeck.routing;

import java.time.Duration;

/**
 * Decides whether an endpoint that is leaving still gets a piece of work. Without state.
 *
 * <p>The platform takes all reclaimable endpoints of a failure domain away at once, with a notice
 * of a few seconds. Without them, the load of the domain moves to the others in the same instant;
 * short work that certainly ends before the endpoints do softens that. Work of unknown length, and
 * work for an endpoint that does not say when it ends, goes elsewhere.
 */
public final class LeavingEndpointPolicy {
    /** Estimates are exceeded by half in a busy engine; work that is cut off is lost. */
    private static final double SAFETY_FACTOR = 2;

    /** Time of the network, and age of the notice when it arrives. */
    private static final Duration MARGIN = Duration.ofMillis(400);

    private final Duration mLeavingBound;

    private LeavingEndpointPolicy(Duration leavingBound) {
        mLeavingBound = leavingBound;
    }

    /**
     * Returns a policy.
     *
     * @param leavingBound time after the notice within which work may be sent to a leaving endpoint
     */
    public static LeavingEndpointPolicy create(Duration leavingBound) {
        return new LeavingEndpointPolicy(leavingBound);
    }

    /**
     * Returns whether the endpoint may get the work.
     *
     * @param sinceNotice time since the description that first said that the endpoint leaves
     * @param expected expected time of the work, its wait at the endpoint included
     */
    public boolean accepts(EndpointDescription endpoint, Duration sinceNotice, Duration expected) {
        if (!endpoint.isLeaving()) {
            return true;
        }
        if (endpoint.leavesWithin().isEmpty() || expected.isNegative()) {
            return false;
        }
        Duration sendingTime = mLeavingBound.minus(MARGIN);
        Duration remaining = endpoint.leavesWithin().get().minus(sinceNotice).minus(MARGIN);
        double needed = expected.toNanos() * SAFETY_FACTOR;
        return sinceNotice.compareTo(sendingTime) < 0 && needed <= remaining.toNanos();
    }
}
