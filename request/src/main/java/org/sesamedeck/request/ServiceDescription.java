package org.sesamedeck.request;

import java.util.Optional;
import java.util.OptionalLong;
import org.sesamedeck.routing.scaling.ScalingTerms;

/**
 * The configuration of a service.
 *
 * @param name name of the service
 * @param isEngine whether its endpoints are model engines
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param scalingTerms terms under which its servers can be ordered; empty if their number is fixed
 * @param engineMemory memory of one engine for the requests that it holds, in tokens
 */
public record ServiceDescription(
        String name,
        boolean isEngine,
        int maxConnections,
        Optional<ScalingTerms> scalingTerms,
        OptionalLong engineMemory) {
    /** Describes a service whose engines, if any, have no known memory. */
    public ServiceDescription(
            String name,
            boolean isEngine,
            int maxConnections,
            Optional<ScalingTerms> scalingTerms) {
        this(name, isEngine, maxConnections, scalingTerms, OptionalLong.empty());
    }

    /** Describes a service with a fixed number of servers. */
    public ServiceDescription(String name, boolean isEngine, int maxConnections) {
        this(name, isEngine, maxConnections, Optional.empty());
    }

    /** Returns this description with the memory of one engine, in tokens. */
    public ServiceDescription withEngineMemory(OptionalLong tokens) {
        return new ServiceDescription(name, isEngine, maxConnections, scalingTerms, tokens);
    }
}
