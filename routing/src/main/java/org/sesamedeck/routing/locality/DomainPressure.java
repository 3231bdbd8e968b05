package org.sesamedeck.routing.locality;

/**
 * Load of the endpoints of one service and role in one failure domain, summed over all processes.
 *
 * @param location the failure domain and its region
 * @param endpoints number of endpoints that accept requests
 * @param waitNanos mean expected wait of a request that is sent there now, in nanoseconds
 */
public record DomainPressure(HostLocation location, int endpoints, double waitNanos) {}
