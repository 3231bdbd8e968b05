package org.sesamedeck.gateway.duty;

import java.time.Duration;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sesamedeck.request.UsageObserver;

/**
 * The requests of this process that began to run, by window and client account. They are kept until
 * the report of their window is fixed in the store. Thread-safe.
 */
final class UsageCounts implements UsageObserver {
    /** Windows that wait for their reports at most; the oldest are dropped. */
    static final int MAX_WINDOWS = 200;

    private final FleetTime mTime;
    private final Duration mWindowLength;
    private final TreeMap<Long, TreeMap<String, Long>> mWindows = new TreeMap<>();
    private long mFixedThrough = Long.MIN_VALUE;
    private long mDropped;

    private UsageCounts(FleetTime time, Duration windowLength) {
        mTime = time;
        mWindowLength = windowLength;
    }

    static UsageCounts create(FleetTime time, Duration windowLength) {
        return new UsageCounts(time, windowLength);
    }

    @Override
    public synchronized void requestBegan(String account) {
        long window = mTime.window(mWindowLength);
        if (window <= mFixedThrough) {
            mDropped++;
            return;
        }
        mWindows.computeIfAbsent(window, number -> new TreeMap<>()).merge(account, 1L, Long::sum);
        while (mWindows.size() > MAX_WINDOWS) {
            mDropped += total(mWindows.pollFirstEntry().getValue());
        }
    }

    private static long total(SortedMap<String, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Drops the windows whose reports are fixed. */
    synchronized void fixedThrough(long window) {
        mFixedThrough = Math.max(mFixedThrough, window);
        mWindows.headMap(mFixedThrough, true).clear();
    }

    /** Returns a copy of the counts by window. */
    synchronized SortedMap<Long, SortedMap<String, Long>> windows() {
        TreeMap<Long, SortedMap<String, Long>> copy = new TreeMap<>();
        mWindows.forEach((window, counts) -> copy.put(window, new TreeMap<>(counts)));
        return copy;
    }

    /** Returns the first window with counts. */
    synchronized Optional<Long> firstWindow() {
        return mWindows.isEmpty() ? Optional.empty() : Optional.of(mWindows.firstKey());
    }

    /** Returns the requests that were counted and will not be reported. */
    synchronized long dropped() {
        return mDropped;
    }
}
