package org.sesamedeck.emulator.platform;

import org.sesamedeck.core.Clock;

/** Token bucket rate limiter that allows bursts of one second. Confined to one thread. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final double mTokensPerSecond;
    private double mTokens;
    private long mLastRefillNanos;

    private TokenBucket(Clock clock, double rate) {
        mClock = clock;
        mTokensPerSecond = rate;
        mTokens = rate;
        mLastRefillNanos = clock.nanoTime();
    }

    static TokenBucket of(Clock clock, double rate) {
        return new TokenBucket(clock, rate);
    }

    /**
     * Takes a token if one is available.
     *
     * @param reserved tokens per second that are already in use and do not refill the bucket
     */
    boolean tryTake(int reserved) {
        long now = mClock.nanoTime();
        double rate = Math.max(0, mTokensPerSecond - reserved);
        mTokens =
                Math.min(
                        mTokensPerSecond,
                        mTokens + (now - mLastRefillNanos) / NANOS_PER_SECOND * rate);
        mLastRefillNanos = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
