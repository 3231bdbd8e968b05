package org.sesamedeck.routing.locality;

/**
 * Load of the endpoints of one service and role in one failure domain, summed over all processes.
 *
 * @param location the failure domain and its region
 * @param endpoints number of endpoints that accept requests
 * @param waitNanos mean expected wait of a request that is sent there now, in nanoseconds
 * @param workNanos mean work that an endpoint has, as the time that it needs for it, in nanoseconds
 * @param busyFraction fraction of the endpoints' capacity that is in use, 0 to 1
 */
public record DomainPressure(
        HostLocation location,
        int endpoints,
        double waitNanos,
        double workNanos,
        double busyFraction) {}
