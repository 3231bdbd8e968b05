package org.sesamedeck.routing.scaling;

import java.time.Duration;
import java.util.ArrayDeque;
import org.sesamedeck.core.Clock;

/**
 * Decides whether a measured load is that of the whole fleet. Not thread-safe.
 *
 * <p>A process that is cut off from a part of the fleet measures the load of the other part only,
 * while the part that it does not hear may serve its callers as before. Processes that have ended
 * for good can't be told apart from these, and their registration stays, so the number that was
 * heard lately is the measure: it must outlast the time for which regions may lose each other.
 */
final class LoadCoverage {
    /** Regions may lose each other for minutes. */
    static final Duration MEMORY = Duration.ofMinutes(10);

    /** Fraction of the processes whose load may be missing: single ones restart at any time. */
    private static final double MAX_MISSING = 0.1;

    private static final long BUCKET_NANOS = Duration.ofSeconds(5).toNanos();

    private final Clock mClock;
    private final ArrayDeque<Bucket> mBuckets = new ArrayDeque<>();

    /** Highest number of processes whose load was known within a few seconds. */
    private static final class Bucket {
        private final long mStartNanos;
        private int mHighest;

        Bucket(long startNanos) {
            mStartNanos = startNanos;
        }
    }

    LoadCoverage(Clock clock) {
        mClock = clock;
    }

    /** Records of how many processes the load is known, this one included. */
    void observe(int processes) {
        long now = mClock.nanoTime();
        Bucket last = mBuckets.peekLast();
        if (last == null || now - last.mStartNanos >= BUCKET_NANOS) {
            last = new Bucket(now);
            mBuckets.addLast(last);
        }
        last.mHighest = Math.max(last.mHighest, processes);
        while (now - mBuckets.getFirst().mStartNanos > MEMORY.toNanos()) {
            mBuckets.removeFirst();
        }
    }

    /** Returns whether the load of so many processes is nearly that of all. */
    boolean isComplete(int processes) {
        int highest = mBuckets.stream().mapToInt(bucket -> bucket.mHighest).max().orElse(0);
        return processes >= highest - Math.max(1, (int) (highest * MAX_MISSING));
    }
}
