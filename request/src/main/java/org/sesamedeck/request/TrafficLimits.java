package org.sesamedeck.request;

import java.time.Duration;

/**
 * Bounds on what a caller may send.
 *
 * @param headerBytes most bytes of a request's head
 * @param bodyBytes most bytes of a request's body
 * @param headerTimeout longest time from the first byte of a head to its end
 * @param idleTimeout how long a connection may stay without a request
 */
public record TrafficLimits(
        int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Returns the bounds that hold before a configuration is known. */
    public static TrafficLimits initial() {
        return new TrafficLimits(
                16_384, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
