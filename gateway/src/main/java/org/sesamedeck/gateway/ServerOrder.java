package org.sesamedeck.gateway;

/**
 * An order for servers of a service in one failure domain.
 *
 * @param service name of the service
 * @param failureDomain failure domain in which the servers run
 * @param isReclaimable whether the order is for servers that the platform may take away
 * @param desiredCount number of servers of that kind that shall run there
 */
public record ServerOrder(
        String service, String failureDomain, boolean isReclaimable, int desiredCount) {}
