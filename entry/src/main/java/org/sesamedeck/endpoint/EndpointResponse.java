package org.sesamedeck.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Status and headers of an endpoint's response.
 *
 * @param status HTTP status
 * @param headers header values by lower-case name
 */
public record EndpointResponse(int status, Map<String, List<String>> headers) {
    private static final int OK = 200;

    /** Returns the first value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)))
                .filter(values -> !values.isEmpty())
                .map(values -> values.get(0));
    }

    /** Returns whether the endpoint confirms that it did not run the request. */
    public boolean isConfirmedNotExecuted() {
        return status != OK && header("X-Not-Executed").filter("true"::equals).isPresent();
    }

    /** Returns the value of {@code Retry-After} in seconds, if it is a number. */
    public Optional<Duration> retryAfter() {
        return header("Retry-After")
                .filter(value -> value.matches("\\d{1,6}"))
                .map(value -> Duration.ofSeconds(Long.parseLong(value)));
    }

    /** Adds a header value under its lower-case name. */
    static void addHeader(Map<String, List<String>> headers, String name, String value) {
        headers.computeIfAbsent(name.toLowerCase(Locale.ROOT), key -> new ArrayList<>(1))
                .add(value);
    }
}
