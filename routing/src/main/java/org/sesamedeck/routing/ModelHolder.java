package org.sesamedeck.routing;

import java.util.Set;

/**
 * An engine as the model load planner sees it.
 *
 * @param name name of the engine
 * @param models models and adapters loaded
 * @param freeBytes free memory for weights, in bytes
 * @param isReady whether it accepts commands: controllable, live, not changing
 * @param runningRequests requests in progress
 */
public record ModelHolder(
        String name, Set<String> models, long freeBytes, boolean isReady, int runningRequests) {}
