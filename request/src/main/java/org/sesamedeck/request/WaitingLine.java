package org.sesamedeck.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.sesamedeck.core.Clock;

/**
 * Requests that wait for room at the engines of a model.
 *
 * <p>Engines accept more answers than they can produce in time: with each further answer all of
 * them advance more slowly, until the long ones meet their deadline after having held their place
 * to the end. So answers are started only while the pace allows it, in the order of {@link
 * StartOrder}. Confined to one thread.
 */
final class WaitingLine {
    /** Between two looks at the engines; a look is cheap and an answer ends every few ms. */
    private static final Duration CHECK = Duration.ofMillis(25);

    private static final double LEARNING_RATE = 0.2;

    private final Clock mClock;
    private final Timers mTimers;
    private final AtomicInteger mTotal;
    private final Set<Entry> mEntries = new HashSet<>();
    private Optional<Timers.Timer> mTimer = Optional.empty();
    private Optional<Long> mLastStartNanos = Optional.empty();
    private double mStartInterval;
    private long mNumber;

    /** Starts a waiting request or ends its wait. */
    interface Waiter {
        /** Returns whether the request has ended. */
        boolean isOver();

        /** Starts the request if there is room, and returns whether there was. */
        boolean startIfRoom();

        /** The request has waited too long. */
        void leaveLine();
    }

    /** One waiting request. */
    record Entry(StartTerms terms, long number, Waiter waiter, Timers.Timer leaving) {}

    WaitingLine(Clock clock, Timers timers) {
        this(clock, timers, new AtomicInteger());
    }

    /**
     * Creates an empty line.
     *
     * @param total counts the waiting requests of all lines, for other threads to read
     */
    WaitingLine(Clock clock, Timers timers, AtomicInteger total) {
        mTotal = total;
        mClock = clock;
        mTimers = timers;
    }

    /**
     * Adds a request, which is told when there is room or when it has waited too long.
     *
     * @return false when the line is too long for it; it is not added then
     */
    boolean enter(Waiter waiter, StartTerms terms) {
        if (expectedWait(ahead(terms)).compareTo(terms.longestWait()) > 0) {
            return false;
        }
        Timers.Timer leaving = mTimers.schedule(terms.longestWait(), waiter::leaveLine);
        mEntries.add(new Entry(terms, ++mNumber, waiter, leaving));
        mTotal.incrementAndGet();
        schedule();
        return true;
    }

    /** Returns the number of waiting requests that would go before a new one. */
    int ahead(StartTerms terms) {
        StartOrder order = StartOrder.at(mClock.nanoTime());
        Entry candidate = new Entry(terms, Long.MAX_VALUE, null, null);
        int count = 0;
        for (Entry entry : mEntries) {
            count += order.compare(entry, candidate) < 0 ? 1 : 0;
        }
        return count;
    }

    /** Estimates how long the last of so many requests waits; zero before anything was learned. */
    private Duration expectedWait(int ahead) {
        return Duration.ofNanos((long) (ahead * mStartInterval));
    }

    /** Returns when a caller that is refused now should come back. */
    Optional<Duration> returnTime(StartTerms terms, Duration shortest, String identifier) {
        return Optional.of(ReturnTime.of(shortest, expectedWait(ahead(terms)), identifier));
    }

    private void started() {
        long now = mClock.nanoTime();
        mLastStartNanos.ifPresent(
                last -> mStartInterval += LEARNING_RATE * (now - last - mStartInterval));
        mLastStartNanos = Optional.of(now);
    }

    private void schedule() {
        if (mTimer.isEmpty() && !mEntries.isEmpty()) {
            mTimer = Optional.of(mTimers.schedule(CHECK, this::check));
        }
    }

    private void leave(Entry entry) {
        entry.leaving().cancel();
        mEntries.remove(entry);
        mTotal.decrementAndGet();
    }

    private void check() {
        mTimer = Optional.empty();
        List.copyOf(mEntries).stream()
                .filter(entry -> entry.waiter().isOver())
                .forEach(this::leave);
        startInOrder();
        if (mEntries.isEmpty()) {
            mLastStartNanos = Optional.empty();
        }
        schedule();
    }

    private void startInOrder() {
        List<Entry> ordered = new ArrayList<>(mEntries);
        ordered.sort(StartOrder.at(mClock.nanoTime()));
        for (Entry entry : ordered) {
            if (!entry.waiter().startIfRoom()) {
                return;
            }
            started();
            leave(entry);
        }
    }
}
