package org.sesamedeck.routing;

import java.util.Set;
import org.sesamedeck.core.HostAddress;

/**
 * An endpoint as the endpoint table describes it.
 *
 * @param name name of the endpoint
 * @param address network address
 * @param service name of its service
 * @param failureDomain failure domain of its host
 * @param region region of its host
 * @param isEngine whether it is a model engine
 * @param isLeaving whether it is draining and receives no new work
 * @param isChanging whether it is in the middle of a role or model change
 * @param role role of an engine
 * @param models models loaded by an engine
 */
public record EndpointDescription(
        String name,
        HostAddress address,
        String service,
        String failureDomain,
        String region,
        boolean isEngine,
        boolean isLeaving,
        boolean isChanging,
        EndpointRole role,
        Set<String> models) {}
