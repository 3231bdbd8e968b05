package org.sesamedeck.request;

import java.time.Duration;

/**
 * The retry-after delay of a refused caller: the expected wait of the current queue within a lower
 * and an upper bound, with jitter of up to 25% in both directions, so that callers refused together
 * do not retry together.
 */
final class RetryAfterDelay {
    /**
     * Callers follow a retry-after delay only up to a third of their remaining time, and most have
     * a few seconds.
     */
    private static final Duration MAX_DELAY = Duration.ofMillis(2_500);

    /** Width of the jitter range around the delay, as a fraction of the delay. */
    private static final double JITTER_RANGE = 0.5;

    private static final int JITTER_STEPS = 1_024;

    private RetryAfterDelay() {}

    /**
     * Returns the retry-after delay.
     *
     * @param minimum lower bound before jitter
     * @param queueWait expected wait of the queued requests
     * @param identifier identifier of the request; equal identifiers give equal delays
     */
    static Duration of(Duration minimum, Duration queueWait, String identifier) {
        Duration wait = queueWait.compareTo(minimum) > 0 ? queueWait : minimum;
        wait = wait.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : wait;
        double factor = 1 + JITTER_RANGE * (position(identifier) - 0.5);
        return Duration.ofNanos((long) (wait.toNanos() * factor));
    }

    /**
     * Returns a delay after which an endpoint is usable: at least the given time, which is not
     * capped, since an earlier repetition would be refused again.
     *
     * @param wait time until an endpoint is usable
     * @param identifier identifier of the request; equal identifiers give equal delays
     */
    static Duration notBefore(Duration wait, String identifier) {
        double factor = 1 + JITTER_RANGE / 2 * position(identifier);
        return Duration.ofNanos((long) (wait.toNanos() * factor));
    }

    private static double position(String identifier) {
        return Math.floorMod(identifier.hashCode(), JITTER_STEPS) / (double) JITTER_STEPS;
    }
}
