package org.sesamedeck.claim;

import java.time.Duration;

/**
 * One attempt to run a request.
 *
 * @param key key of the request
 * @param requestDigest SHA-256 of method, path and body in lower-case hexadecimal
 * @param attemptId identifier, unique over all attempts of all requests
 * @param deadline remaining time of the request
 */
public record ClaimAttempt(
        ClaimKey key, String requestDigest, String attemptId, Duration deadline) {}
