package org.sesamedeck.routing;

/** What the usable engines of one target can take, and what waits there. */
final class EngineCapacity {
    private EngineCapacity() {}

    /** Returns the responses that the engines can generate within the token interval limit. */
    static DecodeCapacity decode(Candidates candidates) {
        double capacity = 0;
        double inProgress = 0;
        for (EndpointState state : candidates.all()) {
            if (!state.isUsable()) {
                continue;
            }
            // Every prompt in progress becomes a response soon.
            inProgress += state.runningNow();
            capacity +=
                    state.description().role() == EndpointRole.PREFILL ? 0 : state.decodeCapacity();
        }
        return new DecodeCapacity(inProgress, capacity);
    }

    /**
     * Returns the mean expected wait of a prompt, in nanoseconds: at engines of the prefill role,
     * or at those of both roles if there is none.
     *
     * @param processes number of processes that send work, including this one
     */
    static double promptBacklogNanos(Candidates candidates, int processes) {
        double prefill = meanWaitNanos(candidates.ofRole(EndpointRole.PREFILL), processes);
        return prefill >= 0
                ? prefill
                : Math.max(0, meanWaitNanos(candidates.ofRole(EndpointRole.MIXED), processes));
    }

    /** Returns the mean expected wait at the usable endpoints; negative if there is none. */
    private static double meanWaitNanos(EndpointState[] endpoints, int processes) {
        double sum = 0;
        int usable = 0;
        for (EndpointState state : endpoints) {
            if (state.isUsable()) {
                sum += state.expectedWaitNanos(processes);
                usable++;
            }
        }
        return usable == 0 ? -1 : sum / usable;
    }
}
