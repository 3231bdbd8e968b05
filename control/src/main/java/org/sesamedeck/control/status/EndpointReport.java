package org.sesamedeck.control.status;

import org.sesamedeck.wire.generated.Endpoint;

/**
 * Status of one endpoint in the status object.
 *
 * @param name name of the endpoint
 * @param service service that it belongs to
 * @param failureDomain failure domain of the endpoint
 * @param role role of an engine; empty for a plain service
 * @param state serving, changing or leaving
 */
public record EndpointReport(
        String name, String service, String failureDomain, String role, String state) {
    static EndpointReport of(Endpoint endpoint) {
        return new EndpointReport(
                endpoint.getName(),
                endpoint.getService(),
                endpoint.getFailureDomain(),
                endpoint.getRole(),
                stateOf(endpoint));
    }

    private static String stateOf(Endpoint endpoint) {
        if (endpoint.getIsLeaving()) {
            return "leaving";
        }
        return endpoint.getIsChanging() ? "changing" : "serving";
    }
}
