package org.sesamedeck.platform;

import java.time.Duration;

/**
 * Limits the write rate of one object by a minimum interval between two starts and by a token
 * bucket that bounds the rate over a longer time. Confined to the control thread.
 */
public final class WriteRateLimit {
    private final long mIntervalNanos;
    private final long mNanosPerToken;
    private final long mBurstNanos;
    private boolean mHasStarted;
    private long mLastStartNanos;
    private long mBucketEmptyNanos;

    private WriteRateLimit(long intervalNanos, long nanosPerToken, int burst) {
        mIntervalNanos = intervalNanos;
        mNanosPerToken = nanosPerToken;
        mBurstNanos = nanosPerToken * burst;
    }

    /** Returns a rate limit that never delays a write. */
    public static WriteRateLimit unlimited() {
        return new WriteRateLimit(0, 0, 0);
    }

    /**
     * Returns a rate limit.
     *
     * @param interval minimum time between the starts of two writes
     * @param perSecond sustained number of writes per second
     * @param burst writes that may start at the minimum interval after an idle period
     */
    public static WriteRateLimit of(Duration interval, double perSecond, int burst) {
        return new WriteRateLimit(interval.toNanos(), (long) (1e9 / perSecond), burst);
    }

    /** Returns how long the next write must wait, in nanoseconds; zero when it may start. */
    long waitNanos(long nowNanos) {
        if (!mHasStarted) {
            return 0;
        }
        long interval = mIntervalNanos - (nowNanos - mLastStartNanos);
        long tokens = mBucketEmptyNanos + mNanosPerToken - nowNanos;
        return Math.max(0, Math.max(interval, tokens));
    }

    /** Records the start of a write. */
    void recordStart(long nowNanos) {
        // The bucket is empty at mBucketEmptyNanos and gains one token after each mNanosPerToken.
        long earliest = nowNanos - mBurstNanos;
        mBucketEmptyNanos =
                (mHasStarted && mBucketEmptyNanos - earliest > 0 ? mBucketEmptyNanos : earliest)
                        + mNanosPerToken;
        mHasStarted = true;
        mLastStartNanos = nowNanos;
    }
}
