package org.sesamedeck.request;

import java.util.Optional;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RoutingExplanation;

/**
 * What would happen to a request that arrived now, and why. Holds no key.
 *
 * @param outcome what would happen to it first
 * @param cause why, in a few words
 * @param code result code of the refusal, if it would be refused
 * @param route name of its route; empty when no route matches
 * @param account name of its client account; empty when its key is missing or unknown
 * @param service service that would serve it; empty when no route matches
 * @param phase first phase that would be sent; empty when no route matches
 * @param queue queue for decode capacity; empty for requests that are not queued
 * @param routing where it would be sent if it was sent now; empty when no route matches
 */
public record RequestExplanation(
        Outcome outcome,
        String cause,
        Optional<ResultCode> code,
        Optional<String> route,
        Optional<String> account,
        Optional<String> service,
        Optional<RequestPhase> phase,
        Optional<QueueState> queue,
        RoutingExplanation routing) {
    /** What would happen to a request first. */
    public enum Outcome {
        /** It would be sent to an endpoint at once. */
        SENT,
        /** It would wait for decode capacity. */
        QUEUED,
        /** It would be refused. */
        REFUSED
    }

    /**
     * The queue of a service as a request would find it.
     *
     * @param ahead number of queued requests that are ahead of it
     * @param inProgress number of responses in progress at the engines
     * @param limit number of responses that the engines can generate within the token interval
     *     limit; infinite without one
     */
    public record QueueState(int ahead, double inProgress, double limit) {}

    static RequestExplanation refused(ResultCode code, String cause) {
        return new RequestExplanation(
                Outcome.REFUSED,
                cause,
                Optional.of(code),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                RoutingExplanation.empty());
    }
}
