package org.sesamedeck.routing;

import java.util.Set;

/** Receives what one routing decision compares. */
interface ComparisonListener {
    /** Ignores everything. */
    ComparisonListener NONE =
            new ComparisonListener() {
                @Override
                public void searched(Set<String> failureDomains, EndpointRole role) {}

                @Override
                public void compared(EndpointState state, double cost, double rankingCost) {}
            };

    /**
     * The endpoints of a role are sampled.
     *
     * @param failureDomains failure domains of the sample; empty for all
     */
    void searched(Set<String> failureDomains, EndpointRole role);

    /**
     * An endpoint is compared with the best one so far.
     *
     * @param cost cost in nanoseconds
     * @param rankingCost cost by which endpoints of one group are ranked, in nanoseconds
     */
    void compared(EndpointState state, double cost, double rankingCost);
}
