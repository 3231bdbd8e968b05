package org.sesamedeck.core;

import java.time.Instant;

/** The clock of the host. */
public final class SystemClock implements Clock {
    private SystemClock() {}

    /** Returns a clock backed by {@link System#nanoTime()} and {@link Instant#now()}. */
    public static SystemClock create() {
        return new SystemClock();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public Instant now() {
        return Instant.now();
    }
}
