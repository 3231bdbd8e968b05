package org.sesamedeck.entry.control;

import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.routing.EndpointDescription;

/**
 * The state last received from the control process. Immutable.
 *
 * @param configuration configuration in force
 * @param endpoints the endpoint table
 * @param isAdmitting whether the control process admits new requests
 * @param refusalReason why it does not admit them
 */
public record ControlSnapshot(
        Configuration configuration,
        List<EndpointDescription> endpoints,
        boolean isAdmitting,
        String refusalReason) {
    /** Returns the state before the first update. */
    public static ControlSnapshot initial() {
        return new ControlSnapshot(
                Configuration.empty(), List.of(), false, "no state received from control yet");
    }

    /** Returns the name of the service whose engines serve the model. */
    public Optional<String> serviceOfModel(String model) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.isEngine() && endpoint.models().contains(model))
                .map(EndpointDescription::service)
                .findFirst();
    }
}
