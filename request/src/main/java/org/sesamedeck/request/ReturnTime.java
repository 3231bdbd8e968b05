package org.sesamedeck.request;

import java.time.Duration;

/**
 * When a refused caller is told to come back: not before the line that it met can have passed, and
 * spread, so that callers who were refused together do not meet the same line again together.
 */
final class ReturnTime {
    /**
     * Callers follow such advice for a third of the time that they have; most have some seconds.
     */
    private static final Duration LONGEST = Duration.ofMillis(2_500);

    private static final double SPREAD = 0.5;
    private static final int STEPS = 1_024;

    private ReturnTime() {}

    /**
     * Returns the time after which to come back.
     *
     * @param shortest time if nothing better is known
     * @param line expected wait of the requests in line
     * @param identifier identifies the request; equal ones get equal times
     */
    static Duration of(Duration shortest, Duration line, String identifier) {
        Duration wait = line.compareTo(shortest) > 0 ? line : shortest;
        wait = wait.compareTo(LONGEST) > 0 ? LONGEST : wait;
        double position = Math.floorMod(identifier.hashCode(), STEPS) / (double) STEPS;
        double factor = 1 + SPREAD * (position - 0.5);
        return Duration.ofNanos((long) (wait.toNanos() * factor));
    }
}
