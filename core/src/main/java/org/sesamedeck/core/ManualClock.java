package org.sesamedeck.core;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that advances only on request, for tests and experiments. Thread-safe. */
public final class ManualClock implements Clock {
    private final AtomicLong mNanoTime = new AtomicLong();
    private final Instant mOrigin;

    private ManualClock(Instant origin) {
        mOrigin = origin;
    }

    /** Returns a clock that starts at zero monotonic nanoseconds and at the Unix epoch. */
    public static ManualClock create() {
        return new ManualClock(Instant.EPOCH);
    }

    /**
     * Advances the clock.
     *
     * @throws IllegalArgumentException if the duration is negative
     */
    public void advance(Duration duration) {
        if (duration.isNegative()) {
            throw new IllegalArgumentException("cannot move the clock back by " + duration);
        }
        mNanoTime.addAndGet(duration.toNanos());
    }

    @Override
    public long nanoTime() {
        return mNanoTime.get();
    }

    @Override
    public Instant now() {
        return mOrigin.plusNanos(mNanoTime.get());
    }
}
