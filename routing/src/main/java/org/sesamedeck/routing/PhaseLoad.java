package org.sesamedeck.routing;

/**
 * Load of a service's engines by phase, summed over all processes.
 *
 * @param busyPrefillEngines engines that process prompts now, estimated
 * @param promptBacklogNanos mean engine time of the prompts that wait, per prefill engine
 * @param responses responses in progress
 */
public record PhaseLoad(double busyPrefillEngines, double promptBacklogNanos, double responses) {}
