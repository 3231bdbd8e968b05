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
     * Chooses an endpoint for one phase of a request. Implementations that do not tell phases apart
     * choose as for a whole request.
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
     * prompt. Takes nothing.
     *
     * @return nanoseconds; empty when no endpoint can take the phase now or no estimate is made
     */
    default OptionalLong expectedStartNanos(RequestProfile profile, RequestPhase phase) {
        return OptionalLong.empty();
    }

    /**
     * Returns an engine that probably keeps more of the prompt's beginning than the given one, from
     * which that one can fetch it.
     */
    default Optional<EndpointDescription> cacheSource(
            RequestProfile profile, EndpointDescription endpoint) {
        return Optional.empty();
    }

    /** Returns how many more answers can be started without slowing the others down too much. */
    default AnswerRoom answerRoom(RequestProfile profile) {
        return AnswerRoom.unlimited();
    }

    /** Replaces the endpoint table. */
    void updateEndpoints(List<EndpointDescription> endpoints);

    /**
     * Tells how many entry processes send work to the same endpoints; 1 until this is called.
     *
     * @param entries number of live entry processes, this one included
     */
    default void updateProcesses(int entries) {}

    /** Takes a load report, whether polled or carried on an answer. */
    void reportLoad(String endpoint, LoadReport report);

    /** Returns the work of this process at each endpoint that has some. */
    default List<EndpointLoad> ownLoad() {
        return List.of();
    }

    /** Returns where shared beginnings of prompts were placed since the last call. */
    default List<PrefixPlacement> takePlacements() {
        return List.of();
    }

    /** Takes the news of a placement by another process. */
    default void learnPlacement(PrefixPlacement placement) {}

    /** Takes the work of all other processes together, by endpoint; valid for a short time. */
    default void updatePeerLoad(Map<String, EndpointLoad> loads) {}

    /** Marks an endpoint as leaving at once, before the endpoint table says so. */
    void markLeaving(String endpoint);

    /** Lifts that mark, because the endpoint itself says that it takes work. */
    void clearLeaving(String endpoint);

    /** Returns the endpoints whose load this router polls. */
    List<EndpointDescription> subset();
}
