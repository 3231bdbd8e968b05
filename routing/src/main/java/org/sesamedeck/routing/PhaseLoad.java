package org.sesamedeck.routing;

/**
 * Load of a service's engines by phase, summed over all processes.
 *
 * @param busyPrefillEngines engines that process prompts now, estimated
 * @param promptBacklogNanos mean engine time of the prompts that wait, per prefill engine
 * @param responses responses in progress, and prompts, each of which becomes a response soon
 * @param responsesPerEngine responses that an engine can generate within the token interval limit;
 *     infinite where there is none
 */
public record PhaseLoad(
        double busyPrefillEngines,
        double promptBacklogNanos,
        double responses,
        double responsesPerEngine) {}
