package org.sesamedeck.request;

import java.time.Duration;

/**
 * Settings of the request core.
 *
 * @param retryRatio retries allowed for each request of a service
 * @param savedRetries retries allowed at once after a quiet time, for each service
 * @param splitsPhases whether prompts may be processed apart from the answer
 * @param transferTime time added to a split request for moving its KV cache
 * @param retryAfter when a caller should come back if nothing better is known
 */
public record RequestSettings(
        double retryRatio,
        double savedRetries,
        boolean splitsPhases,
        Duration transferTime,
        Duration retryAfter) {}
