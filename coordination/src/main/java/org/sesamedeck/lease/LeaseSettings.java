package org.sesamedeck.lease;

import java.time.Duration;

/**
 * Timing of a lease.
 *
 * @param duration how long a candidate must see an unchanged version before it takes over
 * @param renewalInterval how often the holder renews
 * @param safetyMargin how long before the end of the duration the holder stops acting
 */
public record LeaseSettings(Duration duration, Duration renewalInterval, Duration safetyMargin) {
    /** Returns 9 s, renewed every 3 s, with a margin of 2 s. */
    public static LeaseSettings standard() {
        return new LeaseSettings(
                Duration.ofSeconds(9), Duration.ofSeconds(3), Duration.ofSeconds(2));
    }
}
