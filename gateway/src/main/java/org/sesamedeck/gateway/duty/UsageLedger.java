package org.sesamedeck.gateway.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What processes have told about their requests, by window. Counts are cumulative, so a datagram
 * that is lost or arrives twice does no harm. Confined to one thread.
 */
final class UsageLedger {
    /** Windows kept at most; the oldest are dropped. */
    private static final int MAX_WINDOWS = UsageCounts.MAX_WINDOWS;

    private final TreeMap<Long, Map<Long, SortedMap<String, Long>>> mWindows = new TreeMap<>();
    private long mFixedThrough = Long.MIN_VALUE;
    private long mLate;

    /** Records the counts of one run of a process; counts of fixed windows come too late. */
    void receive(long incarnation, long window, SortedMap<String, Long> counts) {
        if (window <= mFixedThrough) {
            mLate++;
            return;
        }
        Map<Long, SortedMap<String, Long>> processes =
                mWindows.computeIfAbsent(window, number -> new HashMap<>());
        processes.merge(
                incarnation,
                counts,
                (before, after) -> total(before) > total(after) ? before : after);
        if (mWindows.size() > MAX_WINDOWS) {
            mWindows.pollFirstEntry();
        }
    }

    private static long total(SortedMap<String, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the requests of all processes in a window, by account. */
    SortedMap<String, Long> total(long window) {
        TreeMap<String, Long> total = new TreeMap<>();
        mWindows.getOrDefault(window, Map.of())
                .values()
                .forEach(
                        counts ->
                                counts.forEach(
                                        (account, requests) ->
                                                total.merge(account, requests, Long::sum)));
        return total;
    }

    /** Returns the first window with counts. */
    Optional<Long> firstWindow() {
        return mWindows.isEmpty() ? Optional.empty() : Optional.of(mWindows.firstKey());
    }

    /** Drops the windows whose reports are fixed. */
    void fixedThrough(long window) {
        mFixedThrough = Math.max(mFixedThrough, window);
        mWindows.headMap(mFixedThrough, true).clear();
    }

    /** Returns how often counts came after the report of their window was fixed. */
    long late() {
        return mLate;
    }
}
