package org.sesamedeck.request;

import java.util.Optional;
import org.sesamedeck.routing.scaling.ScalingTerms;

/**
 * The configuration of a service.
 *
 * @param name name of the service
 * @param isEngine whether its endpoints are model engines
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param scalingTerms terms under which its servers can be ordered; empty if their number is fixed
 */
public record ServiceDescription(
        String name, boolean isEngine, int maxConnections, Optional<ScalingTerms> scalingTerms) {
    /** Describes a service with a fixed number of servers. */
    public ServiceDescription(String name, boolean isEngine, int maxConnections) {
        this(name, isEngine, maxConnections, Optional.empty());
    }
}
