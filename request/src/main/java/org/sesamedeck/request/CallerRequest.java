package org.sesamedeck.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The properties of a caller's request that scheduling needs. Its bytes stay with the transport.
 *
 * @param identifier unique for each attempt of a caller
 * @param host host name that the caller addressed
 * @param path path without query
 * @param accountKey key of the client account, if the caller sent one
 * @param clientTimeout client timeout, if the caller stated one
 * @param model requested model; empty for plain services
 * @param promptTokens prompt length in tokens; 0 for plain services
 * @param outputTokens limit on the response length in tokens; 0 for plain services
 * @param promptParts parts of the prompt in order; the last one belongs to this request alone
 * @param lastEvent identifier of the last event that the caller received, when it resumes a stream
 */
public record CallerRequest(
        String identifier,
        String host,
        String path,
        Optional<String> accountKey,
        Optional<Duration> clientTimeout,
        Optional<String> model,
        int promptTokens,
        int outputTokens,
        List<PromptPart> promptParts,
        OptionalLong lastEvent) {
    /** Describes a request without a key. */
    public CallerRequest(
            String identifier,
            String host,
            String path,
            Optional<Duration> clientTimeout,
            Optional<String> model,
            int promptTokens,
            int outputTokens,
            List<PromptPart> promptParts,
            OptionalLong lastEvent) {
        this(
                identifier,
                host,
                path,
                Optional.empty(),
                clientTimeout,
                model,
                promptTokens,
                outputTokens,
                promptParts,
                lastEvent);
    }

    /** Returns the identifier only: the key must not appear in logs. */
    @Override
    public String toString() {
        return "request " + identifier;
    }
}
