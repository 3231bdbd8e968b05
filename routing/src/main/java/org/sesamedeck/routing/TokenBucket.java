package org.sesamedeck.routing;

import java.time.Duration;

/**
 * A token bucket whose rate may change. Not thread-safe.
 *
 * <p>Its capacity is a sixth of the amount per minute, but at least 10 or the whole amount if that
 * is less, so that a small limit does not force requests to be evenly spaced. Any minute therefore
 * admits at most the amount plus that burst.
 */
final class TokenBucket {
    private static final double NANOS_PER_MINUTE = 60e9;
    private static final double BURST_FRACTION = 1.0 / 6;
    private static final double MIN_BURST = 10;

    private double mPerMinute;
    private double mTokens;
    private long mUpdatedAtNanos;

    private TokenBucket(double perMinute, long nowNanos) {
        mPerMinute = perMinute;
        mTokens = burst();
        mUpdatedAtNanos = nowNanos;
    }

    static TokenBucket of(double perMinute, long nowNanos) {
        return new TokenBucket(perMinute, nowNanos);
    }

    private double burst() {
        return Math.max(mPerMinute * BURST_FRACTION, Math.min(mPerMinute, MIN_BURST));
    }

    void setPerMinute(double perMinute, long nowNanos) {
        refill(nowNanos);
        mPerMinute = perMinute;
        mTokens = Math.min(mTokens, burst());
    }

    private void refill(long nowNanos) {
        long elapsed = nowNanos - mUpdatedAtNanos;
        if (elapsed > 0) {
            mTokens = Math.min(burst(), mTokens + elapsed * mPerMinute / NANOS_PER_MINUTE);
            mUpdatedAtNanos = nowNanos;
        }
    }

    /**
     * Returns the time until the amount is available, zero if it is now. A full bucket admits any
     * amount.
     */
    Duration timeUntilAvailable(double amount, long nowNanos) {
        refill(nowNanos);
        double shortfall = Math.min(amount, burst()) - mTokens;
        if (shortfall <= 1e-9) {
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) Math.ceil(shortfall / mPerMinute * NANOS_PER_MINUTE));
    }

    /** Takes the amount; the level may become negative, which delays later requests. */
    void take(double amount) {
        mTokens -= amount;
    }
}
