package org.sesamedeck.routing;

/**
 * One engine as the role planner sees it.
 *
 * @param name name of the engine
 * @param role its role, or the new role while it changes
 * @param isUsable whether it accepts work: live, not leaving, not changing
 * @param isChanging whether a command to it is in progress
 * @param isControllable whether the planning process holds the lease of its group
 * @param roleSinceNanos monotonic time at which it got its role, in nanoseconds
 * @param observedAtNanos monotonic time of its last load report, in nanoseconds
 * @param queuedPromptTokens prompt tokens queued at the engine
 * @param runningRequests requests in progress
 */
public record EngineSnapshot(
        String name,
        EndpointRole role,
        boolean isUsable,
        boolean isChanging,
        boolean isControllable,
        long roleSinceNanos,
        long observedAtNanos,
        long queuedPromptTokens,
        int runningRequests) {}
