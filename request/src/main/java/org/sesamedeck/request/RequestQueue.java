package org.sesamedeck.request;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.sesamedeck.core.Clock;

/**
 * Queue of requests that wait for decode capacity at the engines of their service.
 *
 * <p>Engines accept more requests than they can decode in time: each further response lengthens the
 * token interval of all others, until long responses reach their deadline after having occupied
 * their slot to the end. Responses are therefore started only while the token interval allows it;
 * other requests wait here. The queue is ordered by rank and within a rank by arrival, so that
 * neither size nor route matters. Confined to one thread.
 */
final class RequestQueue {
    /** Interval of capacity checks; a check is cheap and a response ends every few ms. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(25);

    private static final Comparator<Entry> ORDER =
            Comparator.comparing((Entry entry) -> entry.rank)
                    .thenComparingLong(entry -> entry.sequence);

    private static final double LEARNING_RATE = 0.2;

    /**
     * Fraction of the remaining time that a request may be queued; a response that starts later
     * would not end in time.
     */
    private static final double MAX_WAIT_FRACTION = 0.2;

    private final Clock mClock;
    private final Timers mTimers;
    private final TreeSet<Entry> mEntries = new TreeSet<>(ORDER);
    private Optional<Timers.Timer> mCheckTimer = Optional.empty();
    private Optional<Long> mLastStartNanos = Optional.empty();
    private double mStartIntervalNanos;
    private long mLastSequence;

    /** A queued request and the timer that refuses it when it has been queued too long. */
    private record Entry(
            QueueRank rank, long sequence, RequestLifecycle lifecycle, Timers.Timer waitTimer) {}

    RequestQueue(Clock clock, Timers timers) {
        mClock = clock;
        mTimers = timers;
    }

    /**
     * Adds a request, which is sent when there is capacity or refused after its maximum wait.
     *
     * @param remainingTime time until the request's deadline
     * @return false if the expected wait exceeds the request's maximum; it is not added then
     */
    boolean enqueue(RequestLifecycle lifecycle, QueueRank rank, Duration remainingTime) {
        if (!accepts(rank, remainingTime)) {
            return false;
        }
        Timers.Timer waitTimer =
                mTimers.schedule(maxWait(remainingTime), lifecycle::refuseOverloaded);
        mEntries.add(new Entry(rank, ++mLastSequence, lifecycle, waitTimer));
        scheduleCheck();
        return true;
    }

    /** Returns whether the expected wait of a request is within its maximum. */
    boolean accepts(QueueRank rank, Duration remainingTime) {
        return expectedWait(ahead(rank)).compareTo(maxWait(remainingTime)) <= 0;
    }

    private static Duration maxWait(Duration remainingTime) {
        return Duration.ofNanos((long) (remainingTime.toNanos() * MAX_WAIT_FRACTION));
    }

    /** Returns the number of queued requests that are ahead of a new one of this rank. */
    int ahead(QueueRank rank) {
        return mEntries.headSet(new Entry(rank, Long.MAX_VALUE, null, null), true).size();
    }

    /** Estimates the wait behind this number of requests; zero while there is no measurement. */
    Duration expectedWait(int ahead) {
        return Duration.ofNanos((long) (ahead * mStartIntervalNanos));
    }

    /** Returns the retry-after delay for a request that is refused now. */
    Optional<Duration> retryAfter(QueueRank rank, Duration minimum, String identifier) {
        return Optional.of(RetryAfterDelay.of(minimum, expectedWait(ahead(rank)), identifier));
    }

    private void recordStart() {
        long now = mClock.nanoTime();
        mLastStartNanos.ifPresent(
                last -> mStartIntervalNanos += LEARNING_RATE * (now - last - mStartIntervalNanos));
        mLastStartNanos = Optional.of(now);
    }

    private void scheduleCheck() {
        if (mCheckTimer.isEmpty() && !mEntries.isEmpty()) {
            mCheckTimer = Optional.of(mTimers.schedule(CHECK_INTERVAL, this::startQueued));
        }
    }

    private void remove(Entry entry) {
        entry.waitTimer.cancel();
        mEntries.remove(entry);
    }

    private void startQueued() {
        mCheckTimer = Optional.empty();
        while (!mEntries.isEmpty()) {
            Entry first = mEntries.first();
            if (!first.lifecycle.isOver()) {
                if (!first.lifecycle.dispatchIfCapacity()) {
                    break;
                }
                recordStart();
            }
            remove(first);
        }
        List.copyOf(mEntries).stream()
                .filter(entry -> entry.lifecycle.isOver())
                .forEach(this::remove);
        if (mEntries.isEmpty()) {
            mLastStartNanos = Optional.empty();
        }
        scheduleCheck();
    }
}
