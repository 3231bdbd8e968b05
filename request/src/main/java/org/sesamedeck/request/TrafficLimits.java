package org.sesamedeck.request;

import java.time.Duration;

/**
 * Limits on caller traffic.
 *
 * @param headerBytes maximum size of a request head
 * @param bodyBytes maximum size of a request body
 * @param headerTimeout maximum time from the first to the last byte of a request head
 * @param idleTimeout maximum time that a connection may have no request in progress
 */
public record TrafficLimits(
        int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Returns the limits that apply before a configuration is known. */
    public static TrafficLimits initial() {
        return new TrafficLimits(
                16_384, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
