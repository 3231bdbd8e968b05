package org.sesamedeck.routing;

import org.sesamedeck.core.Clock;

/** Time for which an endpoint has asked this process for no requests. Thread-safe. */
final class EndpointHold {
    private final Clock mClock;
    private boolean mHasBegun;
    private long mUntilNanos;

    EndpointHold(Clock clock) {
        mClock = clock;
    }

    /**
     * Sends the endpoint nothing, not even a probe of the circuit breaker, until the given time. An
     * earlier end than that of the current hold is ignored, since both were asked for.
     *
     * @return whether the hold is new or ends later than before
     */
    synchronized boolean extendTo(long untilNanos) {
        if (isActive() && untilNanos - mUntilNanos <= 0) {
            return false;
        }
        mUntilNanos = untilNanos;
        mHasBegun = true;
        return true;
    }

    synchronized boolean isActive() {
        return mHasBegun && mClock.nanoTime() - mUntilNanos < 0;
    }

    /** Returns the time until the hold ends; 0 without one. */
    synchronized long remainingNanos() {
        return isActive() ? mUntilNanos - mClock.nanoTime() : 0;
    }
}
