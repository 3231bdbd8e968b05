package org.sesamedeck.request;

import java.time.Duration;

/**
 * Settings of request scheduling.
 *
 * @param retryRatio retries that each request of a service adds to the retry budget
 * @param retryBurst maximum number of retries that the budget of a service accumulates
 * @param splitsPhases whether prefill and decode may run on different engines
 * @param transferTime time that the KV cache transfer adds to a split request
 * @param retryAfter default retry-after delay; a longer expected queue wait replaces it
 * @param responseMemoryBytes memory for responses that are passed on only when they are complete
 */
public record RequestSettings(
        double retryRatio,
        double retryBurst,
        boolean splitsPhases,
        Duration transferTime,
        Duration retryAfter,
        long responseMemoryBytes) {}
