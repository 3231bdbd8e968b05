package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.RequestPhase;

/**
 * Parameters that are sent to an endpoint together with the caller's request.
 *
 * @param phase phase of the request that the endpoint performs
 * @param remainingTime time from now after which the endpoint stops processing
 * @param priority priority of the request at an engine; 0 is the most urgent
 * @param processedPrompt location of the processed prompt, if another endpoint processed it
 * @param cacheSource another engine from which the KV cache of the prompt prefix can be fetched
 * @param account name of the client account that the request belongs to, if it has one
 * @param lastEvent last event that the caller has received; the response continues after it
 */
public record CallOptions(
        RequestPhase phase,
        Duration remainingTime,
        int priority,
        Optional<ProcessedPrompt> processedPrompt,
        Optional<EndpointDescription> cacheSource,
        Optional<String> account,
        OptionalLong lastEvent) {
    /** Returns options of a request without a client account. */
    public CallOptions(
            RequestPhase phase,
            Duration remainingTime,
            int priority,
            Optional<ProcessedPrompt> processedPrompt,
            Optional<EndpointDescription> cacheSource,
            OptionalLong lastEvent) {
        this(
                phase,
                remainingTime,
                priority,
                processedPrompt,
                cacheSource,
                Optional.empty(),
                lastEvent);
    }
}
