package org.sesamedeck.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToIntFunction;

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
     * Chooses an endpoint for one phase of a request that avoids some endpoints which have not
     * failed it.
     *
     * @param excluded names of endpoints that already failed this request
     * @param avoided names of endpoints that it must not use for other reasons
     * @return empty when no endpoint can take the phase now
     */
    default Optional<Assignment> choosePhase(
            RequestProfile profile, RequestPhase phase, Set<String> excluded, Set<String> avoided) {
        return choosePhase(profile, phase, LossAvoidance.union(excluded, avoided));
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
     * Explains which endpoint a phase would be sent to now. Assigns nothing and changes no later
     * choice. Where more endpoints can take the phase than one choice samples, the sample is
     * another one than that of the next choice.
     *
     * @param excluded names of endpoints that the request keeps away from
     */
    default RoutingExplanation explain(
            RequestProfile profile, RequestPhase phase, Set<String> excluded) {
        return RoutingExplanation.empty();
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

    /**
     * Applies what an endpoint stated about itself in the head of a response.
     *
     * @param endpoint the endpoint as it was described when the request was sent
     * @return the exclusion of the endpoint, if it is new or lasts longer than before
     */
    default Optional<EndpointExclusion> applySigns(
            EndpointDescription endpoint, EndpointSigns signs) {
        signs.load().ifPresent(load -> reportLoad(endpoint.name(), load));
        return Optional.empty();
    }

    /** Returns whether no statement of the endpoint excludes it from new requests. */
    default boolean accepts(EndpointDescription endpoint) {
        return true;
    }

    /**
     * Returns the time until some endpoint that now refuses requests takes one again.
     *
     * @return empty if an endpoint is usable, or if no endpoint has said or shown when it will be
     */
    default Optional<Duration> timeUntilUsable(RequestProfile profile) {
        return Optional.empty();
    }

    /**
     * Updates the memory of the engines of each service, in tokens; a service that is left out has
     * no known limit.
     */
    default void updateEngineMemory(Map<String, Long> tokensByService) {}

    /** Returns whether no engine has memory for the prompt, even if it holds nothing else. */
    default boolean isOversized(RequestProfile profile) {
        return false;
    }

    /**
     * Returns the names of the endpoints that serve the phase and are suspected to lose requests;
     * see {@link LossAvoidance}.
     */
    default Set<String> suspected(RequestProfile profile, RequestPhase phase) {
        return Set.of();
    }

    /** Returns the load from this process at each endpoint that has any or is suspected by it. */
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

    /**
     * Returns the current load of a service's engines, summed over all processes and extended to
     * the engines outside of this router's subset; empty while the load of the other processes is
     * unknown.
     *
     * @param processes number of processes that send work, including this one
     * @param engines number of engines of the service by role
     */
    default Optional<PhaseLoad> phaseLoad(
            String service, int processes, ToIntFunction<EndpointRole> engines) {
        return Optional.empty();
    }

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
