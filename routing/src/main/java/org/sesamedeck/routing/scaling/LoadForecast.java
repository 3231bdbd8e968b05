package org.sesamedeck.routing.scaling;

import java.time.Duration;
import java.util.ArrayDeque;
import org.sesamedeck.core.Clock;

/**
 * Forecast of a load that rises and falls in waves of about ten seconds and has bursts. Not
 * thread-safe.
 *
 * <p>A server that is ordered at the rise of such a wave serves at its fall. The forecast is
 * therefore the highest smoothed load of a time that spans more than one wave, so that servers are
 * kept through the trough. Only a load above its earlier peaks is extrapolated by its trend over
 * the start time, so that a burst without precedent is followed as early as possible.
 */
final class LoadForecast {
    /** Spans a whole wave and the start of the next one. */
    static final Duration HOLD_TIME = Duration.ofSeconds(16);

    private static final long BUCKET_NANOS = Duration.ofSeconds(1).toNanos();
    private static final double SMOOTHING_NANOS = Duration.ofMillis(1_000).toNanos();

    /** Buckets between the values whose difference is the trend; one is too noisy. */
    private static final int TREND_BUCKETS = 2;

    /** Until then, the smoothed value only approaches the load, which is no trend. */
    private static final Duration ONSET_TIME = Duration.ofSeconds(5);

    /** Factor by which a load must exceed its earlier peaks to be more than the next wave. */
    private static final double MIN_EXCESS = 1.05;

    /** Bounds the extrapolation, since a steep rise seldom lasts for a whole start time. */
    private static final double MAX_GROWTH = 1.5;

    private final Clock mClock;
    private final ArrayDeque<Bucket> mBuckets = new ArrayDeque<>();
    private double mSmoothed;
    private boolean mHasLoad;
    private long mFirstLoadNanos;
    private long mLastSampleNanos;

    /** Highest and last smoothed load of one second. */
    private static final class Bucket {
        private final long mStartNanos;
        private double mHighest;
        private double mLast;

        Bucket(long startNanos) {
            mStartNanos = startNanos;
        }

        void add(double value) {
            mHighest = Math.max(mHighest, value);
            mLast = value;
        }
    }

    LoadForecast(Clock clock) {
        mClock = clock;
    }

    void add(double value) {
        long now = mClock.nanoTime();
        if (!mHasLoad && value <= 0) {
            return;
        }
        if (!mHasLoad) {
            mHasLoad = true;
            mFirstLoadNanos = now;
            mLastSampleNanos = now;
        }
        double rate = 1 - Math.exp(-(now - mLastSampleNanos) / SMOOTHING_NANOS);
        mSmoothed += rate * (value - mSmoothed);
        mLastSampleNanos = now;
        Bucket last = mBuckets.peekLast();
        if (last == null || now - last.mStartNanos >= BUCKET_NANOS) {
            mBuckets.addLast(new Bucket(now));
        }
        mBuckets.getLast().add(mSmoothed);
        while (now - mBuckets.getFirst().mStartNanos > HOLD_TIME.toNanos()) {
            mBuckets.removeFirst();
        }
    }

    /** Returns whether any load has been measured. */
    boolean hasLoad() {
        return mHasLoad;
    }

    /** Returns whether load has been measured for the whole hold time and until now. */
    boolean hasFullHistory() {
        long now = mClock.nanoTime();
        return mHasLoad
                && now - mFirstLoadNanos >= HOLD_TIME.toNanos()
                && now - mLastSampleNanos <= TREND_BUCKETS * BUCKET_NANOS;
    }

    /** Returns the load to be ready for until servers that are ordered now serve. */
    double within(Duration startTime) {
        double highest = mBuckets.stream().mapToDouble(bucket -> bucket.mHighest).max().orElse(0);
        int earlier = mBuckets.size() - TREND_BUCKETS;
        double highestEarlier =
                mBuckets.stream()
                        .limit(Math.max(0, earlier))
                        .mapToDouble(bucket -> bucket.mHighest)
                        .max()
                        .orElse(0);
        // A rise below an earlier peak is the next swing of the wave, which is prepared for.
        boolean isOnset = mClock.nanoTime() - mFirstLoadNanos < ONSET_TIME.toNanos();
        return mSmoothed > highestEarlier * MIN_EXCESS && !isOnset
                ? Math.max(highest, extrapolated(startTime))
                : highest;
    }

    private double extrapolated(Duration startTime) {
        int skipped = mBuckets.size() - 1 - TREND_BUCKETS;
        if (skipped < 0) {
            return mSmoothed;
        }
        double before =
                mBuckets.stream().skip(skipped).findFirst().map(bucket -> bucket.mLast).orElse(0.0);
        double perSecond = Math.max(0, mSmoothed - before) / TREND_BUCKETS;
        double seconds = startTime.toNanos() / (double) BUCKET_NANOS;
        return Math.min(mSmoothed + perSecond * seconds, MAX_GROWTH * mSmoothed);
    }
}
