package org.sesamedeck.routing.locality;

/**
 * Failure domain and region of a host.
 *
 * @param failureDomain name of its failure domain
 * @param region name of its region
 */
public record HostLocation(String failureDomain, String region) {
    /** Returns how far apart two hosts are. */
    public DomainDistance distanceTo(HostLocation other) {
        if (!region.equals(other.region)) {
            return DomainDistance.OTHER_REGION;
        }
        return failureDomain.equals(other.failureDomain)
                ? DomainDistance.SAME_DOMAIN
                : DomainDistance.SAME_REGION;
    }
}
