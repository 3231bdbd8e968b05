package org.sesamedeck.routing;

/**
 * How soon a phase of a request gives its first token if it is sent now.
 *
 * @param waitNanos time of the prompts that go before, in nanoseconds
 * @param promptNanos time of the request's own prompt without what the engine keeps of it, in
 *     nanoseconds
 */
public record StartEstimate(long waitNanos, long promptNanos) {
    /** Returns the time until the first token, in nanoseconds. */
    public long totalNanos() {
        return waitNanos + promptNanos;
    }
}
