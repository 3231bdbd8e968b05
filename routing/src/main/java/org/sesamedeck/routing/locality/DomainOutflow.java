package org.sesamedeck.routing.locality;

import java.util.Map;
import java.util.Set;

/**
 * Which part of the requests of this failure domain to a service may leave it, for endpoints of one
 * role. Immutable.
 *
 * @param share fraction of the requests that may leave, 0 to 1
 * @param home this failure domain, and those of its region that are weighed together with it; empty
 *     while they have no endpoints
 * @param costNanos failure domains to which they may go, each with the cost of the link there, in
 *     nanoseconds; empty while the wait is not shorter anywhere
 * @param homeWaitNanos smoothed wait in this failure domain, in nanoseconds; infinite while it has
 *     no endpoints
 */
public record DomainOutflow(
        double share, Set<String> home, Map<String, Double> costNanos, double homeWaitNanos) {
    /** Returns an outflow that keeps all requests. */
    static DomainOutflow none(Set<String> home, double homeWaitNanos) {
        return new DomainOutflow(0, home, Map.of(), homeWaitNanos);
    }

    /** Returns whether a request may leave, given a number that is uniform from 0 to 1. */
    public boolean permits(double uniform) {
        return uniform < share && !costNanos.isEmpty();
    }

    /** Returns the failure domains to which requests may go. */
    public Set<String> domains() {
        return costNanos.keySet();
    }
}
