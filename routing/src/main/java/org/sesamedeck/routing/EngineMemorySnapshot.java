package org.sesamedeck.routing;

import java.util.Set;

/**
 * The loaded models and the free memory of an engine, as the model load planner sees them.
 *
 * @param name name of the engine
 * @param models models and adapters loaded
 * @param freeBytes free memory for weights, in bytes
 * @param isReady whether it accepts commands: controllable, live, not changing
 * @param runningRequests requests in progress
 */
public record EngineMemorySnapshot(
        String name, Set<String> models, long freeBytes, boolean isReady, int runningRequests) {}
