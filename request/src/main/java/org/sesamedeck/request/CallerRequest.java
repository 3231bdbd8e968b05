package org.sesamedeck.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the core knows about one request of a caller. Its bytes stay with the transport.
 *
 * @param identifier unique for each attempt of a caller
 * @param host host that the caller named
 * @param path path without query
 * @param patience how long the caller will wait, if it said so
 * @param model model that is asked for; empty for plain services
 * @param promptTokens tokens of the prompt; 0 for plain services
 * @param outputTokens most tokens of the answer; 0 for plain services
 * @param promptParts parts of the prompt in order; the last one belongs to the request itself
 * @param lastEvent identifier of the last event that the caller has, when it resumes a stream
 */
public record CallerRequest(
        String identifier,
        String host,
        String path,
        Optional<Duration> patience,
        Optional<String> model,
        int promptTokens,
        int outputTokens,
        List<PromptPart> promptParts,
        OptionalLong lastEvent) {}
