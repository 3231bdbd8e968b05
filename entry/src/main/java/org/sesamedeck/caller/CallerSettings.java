package org.sesamedeck.caller;

import java.time.Duration;

/**
 * Limits on caller requests.
 *
 * @param maxBodyBytes largest body that is held in memory, in bytes
 * @param bodyTimeout maximum time to receive such a body
 * @param maxOutputTokens maximum number of output tokens that a caller may request
 * @param deadline default and maximum time until the response to a request must have started
 */
public record CallerSettings(
        long maxBodyBytes, Duration bodyTimeout, long maxOutputTokens, Duration deadline) {}
