package org.sesamedeck.control.engine;

/**
 * Last known state and load of one engine, as observed by the holder of its group. While a role
 * command is open, the state has the new role; it counts as changing from the moment the holder
 * begins the command.
 *
 * @param state state of the engine
 * @param hasHistory whether the command log has an earlier role change of the engine
 * @param queuedPromptTokens prompt tokens that are queued at the engine
 * @param runningRequests requests that the engine is processing
 * @param observedAtNanos lower bound of the time at which state and load were read, on the
 *     monotonic clock of this process, in nanoseconds
 */
public record EngineObservation(
        EngineState state,
        boolean hasHistory,
        long queuedPromptTokens,
        int runningRequests,
        long observedAtNanos) {
    /** Returns this observation with a change to the given role in progress. */
    EngineObservation changingTo(org.sesamedeck.routing.EndpointRole role) {
        EngineState changing =
                new EngineState(state.name(), role, state.models(), state.isDraining(), true);
        return new EngineObservation(
                changing, true, queuedPromptTokens, runningRequests, observedAtNanos);
    }
}
