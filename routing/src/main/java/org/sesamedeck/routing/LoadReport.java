package org.sesamedeck.routing;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * Load that an endpoint reported.
 *
 * @param queuedRequests requests queued at the endpoint
 * @param runningRequests requests in progress
 * @param queuedPromptTokens prompt tokens not yet processed
 * @param kvCacheUsage fraction of the KV cache in use, 0 to 1
 * @param slots number of requests that the endpoint serves at once
 * @param pace how long work takes on the endpoint's host at the moment of the report, relative to
 *     usual: 2 is twice as long; changes many times a second
 * @param observedAtNanos monotonic time to which the report refers, in nanoseconds
 */
public record LoadReport(
        int queuedRequests,
        int runningRequests,
        long queuedPromptTokens,
        double kvCacheUsage,
        OptionalInt slots,
        OptionalDouble pace,
        long observedAtNanos) {
    /** Creates a report without slots and pace. */
    public LoadReport(
            int queuedRequests,
            int runningRequests,
            long queuedPromptTokens,
            double kvCacheUsage,
            long observedAtNanos) {
        this(
                queuedRequests,
                runningRequests,
                queuedPromptTokens,
                kvCacheUsage,
                OptionalInt.empty(),
                OptionalDouble.empty(),
                observedAtNanos);
    }

    /** Returns the age of the report, in nanoseconds. */
    public long ageNanos(long nowNanos) {
        return nowNanos - observedAtNanos;
    }
}
