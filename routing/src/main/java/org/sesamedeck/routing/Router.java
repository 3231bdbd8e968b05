package org.sesamedeck.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Chooses endpoints for requests. Thread-safe; does no I/O. */
public interface Router {
    /**
     * Chooses the endpoint that is expected to serve the request soonest at the least cost.
     *
     * @param excluded names of endpoints that already failed this request
     * @return empty when no endpoint can take the request now
     */
    Optional<Assignment> choose(RequestProfile profile, Set<String> excluded);

    /**
     * Chooses an endpoint for one phase of a request. Implementations that do not distinguish
     * phases choose as for a whole request.
     *
     * @param excluded names of endpoints that already failed this request
     * @return empty when no endpoint can take the phase now
     */
    default Optional<Assignment> choosePhase(
            RequestProfile profile, RequestPhase phase, Set<String> excluded) {
        return choose(profile, excluded);
    }

    /**
     * Estimates how long a phase takes until its first token if it is sent now: the wait and the
     * prompt. Does not assign the request.
     *
     * @return nanoseconds; empty when no endpoint can take the phase now or no estimate is made
     */
    default OptionalLong expectedStartNanos(RequestProfile profile, RequestPhase phase) {
        return OptionalLong.empty();
    }

    /**
     * Returns an engine that probably holds a longer prefix of the prompt than the given endpoint,
     * which can fetch it from there.
     */
    default Optional<EndpointDescription> cacheSource(
            RequestProfile profile, EndpointDescription endpoint) {
        return Optional.empty();
    }

    /**
     * Returns the decode capacity for the request's target: the number of responses that can run
     * within the token interval limit.
     */
    default DecodeCapacity decodeCapacity(RequestProfile profile) {
        return DecodeCapacity.unlimited();
    }

    /**
     * Returns the mean time that prompts wait at the engines that would process the request's
     * prompt, in nanoseconds; background requests are not counted.
     */
    default double promptBacklogNanos(RequestProfile profile) {
        return 0;
    }

    /** Replaces the endpoint table. */
    void updateEndpoints(List<EndpointDescription> endpoints);

    /**
     * Sets how many entry processes, which receive and route requests, send work to the same
     * endpoints; 1 until this is called.
     *
     * @param entries number of live entry processes, this one included
     */
    default void updateProcesses(int entries) {}

    /** Records a load report, whether polled or piggybacked on a response. */
    void reportLoad(String endpoint, LoadReport report);

    /** Returns the load from this process at each endpoint that has any. */
    default List<EndpointLoad> ownLoad() {
        return List.of();
    }

    /** Returns and clears the prefix updates of this process since the last call. */
    default List<PrefixUpdate> takePrefixUpdates() {
        return List.of();
    }

    /** Applies a prefix update of another process. */
    default void applyPrefixUpdate(PrefixUpdate update) {}

    /**
     * Updates the load summed over all other processes, by endpoint; it is used only for a short
     * time.
     */
    default void updatePeerLoad(Map<String, EndpointLoad> loads) {}

    /** Marks an endpoint as leaving, before the endpoint table shows it. */
    void markLeaving(String endpoint);

    /** Clears the leaving mark, because the endpoint itself reports that it accepts work. */
    void clearLeaving(String endpoint);

    /** Returns whether the endpoint table lists the endpoint and it is not leaving. */
    default boolean isServing(String endpoint) {
        return true;
    }

    /** Returns the endpoints whose load this router polls. */
    List<EndpointDescription> subset();
}
