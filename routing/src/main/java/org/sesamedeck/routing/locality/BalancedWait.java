package org.sesamedeck.routing.locality;

import java.util.List;

/**
 * Wait that a failure domain and its neighbors would have in common if work moved from it to them
 * (water-filling). A neighbor counts with its wait plus the cost of the link there, so that a near
 * one takes work up to that cost before a far one takes any.
 */
final class BalancedWait {
    private BalancedWait() {}

    /**
     * Wait in a failure domain.
     *
     * @param endpoints number of its endpoints
     * @param costNanos wait there plus the cost of the link, in nanoseconds
     */
    record DomainWait(int endpoints, double costNanos) {}

    /**
     * Returns the wait at which the work above it at home brings the neighbors up to it; the wait
     * at home if no neighbor has a lower one.
     *
     * @param neighbors neighbors by rising cost
     */
    static double of(DomainWait home, List<DomainWait> neighbors) {
        double work = home.costNanos() * home.endpoints();
        double endpoints = home.endpoints();
        double balanced = home.costNanos();
        for (DomainWait neighbor : neighbors) {
            if (neighbor.costNanos() >= balanced) {
                break;
            }
            work += neighbor.costNanos() * neighbor.endpoints();
            endpoints += neighbor.endpoints();
            balanced = work / endpoints;
        }
        return balanced;
    }
}
