package org.sesamedeck.routing;

import java.util.Collection;

/**
 * Numbers of endpoints that are left out at the moment, by reason.
 *
 * @param leaving endpoints that have stated that they are leaving
 * @param held endpoints that have asked for no requests for some time
 * @param suspected endpoints that are suspected to lose requests
 */
public record ExclusionCounts(long leaving, long held, long suspected) {
    static ExclusionCounts of(Collection<EndpointState> states, EndpointExclusions exclusions) {
        long leaving = 0;
        long held = 0;
        long suspected = 0;
        for (EndpointState state : states) {
            leaving += exclusions.hasStatedLeaving(state.description()) ? 1 : 0;
            held += state.hold().isActive() ? 1 : 0;
            suspected += state.suspicion().isActive() ? 1 : 0;
        }
        return new ExclusionCounts(leaving, held, suspected);
    }
}
