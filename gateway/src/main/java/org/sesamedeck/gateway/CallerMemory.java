package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.Timers;

/**
 * The one owner of the memory that this process holds for callers: connections, heads, bodies,
 * requests sent ahead and responses that callers have not read. Confined to one thread.
 *
 * <p>It answers the load of many callers that each stay within the limits on one request but
 * together exceed the heap. Small amounts are granted until the memory is used up; then the holder
 * that weighs most is ended, by size and by the time for which its caller has made no progress, so
 * that a caller who sends a small request and reads the response is reached last.
 *
 * <p>Large bodies are admitted before they are read, one after the other, with the memory that they
 * need when they are complete. If each were granted what it needs next, all could hold a part and
 * none could be completed. Those that wait are not read from, which slows their senders down. While
 * one waits, admitted bodies that arrive too slowly are ended.
 */
final class CallerMemory {
    /** Larger bodies wait for admission. */
    static final int LARGE_BYTES = 128 * 1_024;

    /** Large bodies may take this part of the memory, so that small requests find room. */
    private static final double LARGE_FRACTION = 0.75;

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    private final Clock mClock;
    private final Timers mTimers;
    private final long mLimitBytes;
    private final Set<MemoryHolder> mHolders = new HashSet<>();
    private final Map<MemoryHolder, Long> mAdmitted = new LinkedHashMap<>();
    private final Map<MemoryHolder, Long> mWaiting = new LinkedHashMap<>();
    private long mUsedBytes;
    private long mLargeBytes;
    private long mReclaimed;
    private boolean mIsChecking;

    private CallerMemory(Clock clock, Timers timers, long limitBytes) {
        mClock = clock;
        mTimers = timers;
        mLimitBytes = limitBytes;
    }

    /** Returns memory of the given size, all of which is free. */
    static CallerMemory of(Clock clock, Timers timers, long limitBytes) {
        return new CallerMemory(clock, timers, limitBytes);
    }

    /** Makes a holder known, so that it may be ended when memory is short. */
    void add(MemoryHolder holder) {
        mHolders.add(holder);
    }

    /** Forgets a holder and releases its memory. */
    void remove(MemoryHolder holder, long reservedBytes) {
        mHolders.remove(holder);
        mWaiting.remove(holder);
        releaseLarge(holder);
        mUsedBytes -= reservedBytes;
        admitSoon();
    }

    /**
     * Reserves memory, if necessary by ending holders that weigh more than the requester.
     *
     * @return false if the requester itself weighs most; nothing is reserved then
     */
    boolean tryReserve(MemoryHolder requester, long bytes) {
        while (mUsedBytes + bytes > mLimitBytes) {
            Optional<MemoryHolder> heaviest = heaviest();
            if (heaviest.isEmpty() || heaviest.get() == requester) {
                return false;
            }
            end(heaviest.get());
        }
        mUsedBytes += bytes;
        return true;
    }

    /** Reserves memory that cannot be refused, such as that of a connection. */
    void reserve(long bytes) {
        mUsedBytes += bytes;
    }

    /** Releases memory that was reserved, but for large bodies. */
    void release(long bytes) {
        mUsedBytes -= bytes;
        admitSoon();
    }

    private Optional<MemoryHolder> heaviest() {
        long now = mClock.nanoTime();
        MemoryHolder heaviest = null;
        double heaviestWeight = 0;
        for (MemoryHolder holder : mHolders) {
            double weight = holder.reclaimWeight(now);
            if (weight > heaviestWeight) {
                heaviest = holder;
                heaviestWeight = weight;
            }
        }
        return Optional.ofNullable(heaviest);
    }

    private void end(MemoryHolder holder) {
        mReclaimed++;
        mHolders.remove(holder);
        mWaiting.remove(holder);
        holder.reclaim();
        releaseLarge(holder);
    }

    /**
     * Reserves memory for a large body, or queues the holder until there is room.
     *
     * @param bytes size of the complete body
     * @return true if the body may be read now; otherwise {@link MemoryHolder#admitted} follows,
     *     unless the holder ends before
     */
    boolean admit(MemoryHolder holder, long bytes) {
        if (mWaiting.isEmpty() && hasRoom(bytes)) {
            grant(holder, bytes);
            return true;
        }
        mWaiting.put(holder, bytes);
        checkLater();
        return false;
    }

    /** A body that alone exceeds the part for large ones is admitted when there is no other. */
    private boolean hasRoom(long bytes) {
        boolean isWithinPart = mLargeBytes + bytes <= mLimitBytes * LARGE_FRACTION;
        return (isWithinPart || mLargeBytes == 0) && mUsedBytes + bytes <= mLimitBytes;
    }

    private void grant(MemoryHolder holder, long bytes) {
        mAdmitted.put(holder, bytes);
        mLargeBytes += bytes;
        mUsedBytes += bytes;
    }

    /** Ends the wait of a holder whose body has become complete without being admitted. */
    void cancelWait(MemoryHolder holder) {
        mWaiting.remove(holder);
    }

    /** Releases the memory of an admitted body; has no effect if the holder has none. */
    void releaseLarge(MemoryHolder holder) {
        Long bytes = mAdmitted.remove(holder);
        if (bytes != null) {
            mLargeBytes -= bytes;
            mUsedBytes -= bytes;
            admitSoon();
        }
    }

    private void admitSoon() {
        if (!mWaiting.isEmpty()) {
            mTimers.schedule(Duration.ZERO, this::admitWaiting);
        }
    }

    private void admitWaiting() {
        Iterator<Map.Entry<MemoryHolder, Long>> waiting = mWaiting.entrySet().iterator();
        if (!waiting.hasNext()) {
            return;
        }
        Map.Entry<MemoryHolder, Long> first = waiting.next();
        if (!hasRoom(first.getValue())) {
            return;
        }
        MemoryHolder holder = first.getKey();
        grant(holder, first.getValue());
        waiting.remove();
        holder.admitted();
        admitSoon();
    }

    private void checkLater() {
        if (!mIsChecking) {
            mIsChecking = true;
            mTimers.schedule(CHECK_INTERVAL, this::endSlow);
        }
    }

    private void endSlow() {
        mIsChecking = false;
        if (mWaiting.isEmpty()) {
            return;
        }
        long now = mClock.nanoTime();
        for (MemoryHolder holder : List.copyOf(mAdmitted.keySet())) {
            if (holder.isSlow(now)) {
                end(holder);
            }
        }
        admitWaiting();
        checkLater();
    }

    /** Returns the reserved memory in bytes. */
    long usedBytes() {
        return mUsedBytes;
    }

    /** Returns the size of the memory in bytes. */
    long limitBytes() {
        return mLimitBytes;
    }

    /** Returns the number of large bodies that wait for admission. */
    int waiting() {
        return mWaiting.size();
    }

    /** Returns how many holders were ended because memory was short. */
    long reclaimed() {
        return mReclaimed;
    }
}
