package org.sesamedeck.routing;

/** What the usable engines of one target can take. */
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
}
