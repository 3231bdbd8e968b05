package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.RequestPhase;

/**
 * What an endpoint is told beside the caller's request.
 *
 * @param phase which part of the request it is to do
 * @param timeLeft after this it stops its work
 * @param priority rank of the route, 0 is the most urgent
 * @param processedPrompt where the processed prompt lies, if another endpoint processed it
 * @param cacheSource another engine from which the prompt's beginning can be fetched
 * @param lastEvent last event that the caller has; the answer goes on after it
 */
public record CallOptions(
        RequestPhase phase,
        Duration timeLeft,
        int priority,
        Optional<ProcessedPrompt> processedPrompt,
        Optional<EndpointDescription> cacheSource,
        OptionalLong lastEvent) {}
