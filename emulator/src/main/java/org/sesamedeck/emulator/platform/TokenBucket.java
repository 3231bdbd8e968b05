package org.sesamedeck.emulator.platform;

import org.sesamedeck.core.Clock;

/** Token bucket rate limiter that allows bursts of one second. Confined to the event loop. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final double mTokensPerSecond;
    private double mTokens;
    private long mLastRefillNanos;

    private TokenBucket(Clock clock, double tokensPerSecond) {
        mClock = clock;
        mTokensPerSecond = tokensPerSecond;
        mTokens = tokensPerSecond;
        mLastRefillNanos = clock.nanoTime();
    }

    static TokenBucket of(Clock clock, double tokensPerSecond) {
        return new TokenBucket(clock, tokensPerSecond);
    }

    /**
     * Takes a token if one is available.
     *
     * @param reservedTokensPerSecond part of the rate that is already in use and does not refill
     *     the bucket
     */
    boolean tryTake(int reservedTokensPerSecond) {
        long now = mClock.nanoTime();
        double refillRate = Math.max(0, mTokensPerSecond - reservedTokensPerSecond);
        mTokens =
                Math.min(
                        mTokensPerSecond,
                        mTokens + (now - mLastRefillNanos) / NANOS_PER_SECOND * refillRate);
        mLastRefillNanos = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
