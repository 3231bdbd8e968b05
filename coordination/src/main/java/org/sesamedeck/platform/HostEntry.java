package org.sesamedeck.platform;

import org.sesamedeck.core.HostAddress;

/**
 * One row of the platform's host list.
 *
 * @param name name of the endpoint or node
 * @param address address at which it listens; for a node, that of its control process
 * @param kind kind of the host
 * @param service service that an endpoint belongs to; empty for a node
 * @param failureDomain failure domain of the host
 * @param region region of the host
 * @param isLeaving whether the platform has announced that the host will leave
 */
public record HostEntry(
        String name,
        HostAddress address,
        HostKind kind,
        String service,
        String failureDomain,
        String region,
        boolean isLeaving) {}
