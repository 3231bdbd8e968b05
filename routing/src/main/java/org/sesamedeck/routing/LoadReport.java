package org.sesamedeck.routing;

/**
 * Load that an endpoint reported.
 *
 * @param queuedRequests requests queued at the endpoint
 * @param runningRequests requests in progress
 * @param queuedPromptTokens prompt tokens not yet processed
 * @param kvCacheUsage fraction of the KV cache in use, 0 to 1
 * @param observedAtNanos monotonic time to which the report refers, in nanoseconds
 */
public record LoadReport(
        int queuedRequests,
        int runningRequests,
        long queuedPromptTokens,
        double kvCacheUsage,
        long observedAtNanos) {}
