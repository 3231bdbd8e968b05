package org.sesamedeck.emulator.platform;

import java.time.Duration;

/**
 * Rate limits and lag of the emulated platform.
 *
 * @param writesPerSecond sustained write rate; bursts may use the writes of one second at once
 * @param readsPerSecond sustained read rate; each waiting watch uses one read per second
 * @param hostLag delay until a change of the host list is visible
 */
public record PlatformLimits(double writesPerSecond, double readsPerSecond, Duration hostLag) {
    /** Returns the limits of the real platform. */
    public static PlatformLimits defaults() {
        return new PlatformLimits(400, 2000, Duration.ofSeconds(1));
    }
}
