package org.sesamedeck.routing.locality;

/**
 * Location of this process and the cost of leaving it.
 *
 * @param location location of this process
 * @param domainCost cost of the link to another failure domain of the same region
 * @param regionCost cost of the link to another region
 * @param fullWaitNanos expected wait from which on a failure domain takes no requests of others, in
 *     nanoseconds
 */
public record LocalitySettings(
        HostLocation location, LinkCost domainCost, LinkCost regionCost, double fullWaitNanos) {
    /** Returns the cost of the link from this process to a host. */
    public LinkCost costTo(HostLocation host) {
        return cost(location.distanceTo(host));
    }

    /** Returns the cost of a link over a distance. */
    public LinkCost cost(DomainDistance distance) {
        return switch (distance) {
            case SAME_DOMAIN -> LinkCost.NONE;
            case SAME_REGION -> domainCost;
            case OTHER_REGION -> regionCost;
        };
    }
}
