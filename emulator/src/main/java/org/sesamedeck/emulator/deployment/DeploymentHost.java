package org.sesamedeck.emulator.deployment;

import org.sesamedeck.core.HostAddress;

/**
 * One process of a deployment.
 *
 * @param name name of the process
 * @param kind kind of the process; a control process is a {@link HostKind#NODE}
 * @param index index among the processes of its kind, counted from 0
 * @param address listen address: of a control process for other nodes, of an entry for callers
 * @param admin admin address of a control or entry process; otherwise the same as the address
 * @param service service of an endpoint; otherwise empty
 * @param failureDomain failure domain
 * @param region region
 */
public record DeploymentHost(
        String name,
        HostKind kind,
        int index,
        HostAddress address,
        HostAddress admin,
        String service,
        String failureDomain,
        String region) {}
