package org.sesamedeck.routing;

/** Why a routing decision does not choose an endpoint, whatever its cost. */
public enum CandidateExclusion {
    /** It is shutting down. */
    LEAVING,
    /** A command to it is in progress, such as a change of its role. */
    CHANGING,
    /** It has asked for no requests for some time. */
    HELD,
    /** Its circuit breaker is open, or its only probe is in flight. */
    BREAKER_OPEN,
    /** It serves the other phase. */
    WRONG_ROLE,
    /** It has no memory for the request. */
    NO_ROOM,
    /** It is outside of the failure domains to which the request is restricted. */
    OUTSIDE_DOMAIN,
    /** It is outside of the regions that may serve the request. */
    OUTSIDE_REGION,
    /** The request keeps away from it, because it failed the request or may lose it. */
    AVOIDED,
    /** It could take the request but is not in the random sample that was compared. */
    NOT_SAMPLED;

    /** Returns why the endpoint takes no requests at the moment, or null when it takes them. */
    static CandidateExclusion of(EndpointState state) {
        if (state.isLeaving()) {
            return LEAVING;
        } else if (state.description().isChanging()) {
            return CHANGING;
        } else if (state.hold().isActive()) {
            return HELD;
        }
        return state.breaker().allows() ? null : BREAKER_OPEN;
    }
}
