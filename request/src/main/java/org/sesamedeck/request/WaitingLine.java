package org.sesamedeck.request;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.sesamedeck.core.Clock;

/**
 * Requests that wait for room at the engines of their service.
 *
 * <p>Engines accept more answers than they can produce in time: with each further answer all of
 * them advance more slowly, until the long ones meet their deadline after having held their place
 * to the end. So answers are started only while the pace allows it, and the rest waits here, the
 * more urgent first and within a rank in the order of arrival, so that neither size nor route
 * decides. Confined to one thread.
 */
final class WaitingLine {
    /** Between two looks at the engines; a look is cheap and an answer ends every few ms. */
    private static final Duration CHECK = Duration.ofMillis(25);

    private static final Comparator<Entry> ORDER =
            Comparator.comparingInt((Entry entry) -> entry.priority)
                    .thenComparingLong(entry -> entry.number);

    private static final double LEARNING_RATE = 0.2;

    /** Part of the time left that may pass in line; later the answer would not end in time. */
    private static final double WAITING_PART = 0.2;

    private final Clock mClock;
    private final Timers mTimers;
    private final TreeSet<Entry> mEntries = new TreeSet<>(ORDER);
    private Optional<Timers.Timer> mTimer = Optional.empty();
    private Optional<Long> mLastStartNanos = Optional.empty();
    private double mStartInterval;
    private long mNumber;

    /** One waiting request. */
    private record Entry(int priority, long number, RequestRun run, Timers.Timer leaving) {}

    WaitingLine(Clock clock, Timers timers) {
        mClock = clock;
        mTimers = timers;
    }

    /**
     * Adds a request, which is told when there is room or when it has waited too long.
     *
     * @param timeLeft time until the request's deadline
     * @return false when the line is too long for it; it is not added then
     */
    boolean enter(RequestRun run, int priority, Duration timeLeft) {
        Duration longest = Duration.ofNanos((long) (timeLeft.toNanos() * WAITING_PART));
        if (expectedWait(ahead(priority)).compareTo(longest) > 0) {
            return false;
        }
        Timers.Timer leaving = mTimers.schedule(longest, run::leaveLine);
        mEntries.add(new Entry(priority, ++mNumber, run, leaving));
        schedule();
        return true;
    }

    /** Returns the number of waiting requests that go before one of this priority. */
    int ahead(int priority) {
        return mEntries.headSet(new Entry(priority, Long.MAX_VALUE, null, null), true).size();
    }

    /** Estimates how long the last of so many requests waits; zero before anything was learned. */
    Duration expectedWait(int ahead) {
        return Duration.ofNanos((long) (ahead * mStartInterval));
    }

    /** Returns when a caller that is refused now should come back. */
    Optional<Duration> returnTime(int priority, Duration shortest, String identifier) {
        return Optional.of(ReturnTime.of(shortest, expectedWait(ahead(priority)), identifier));
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
        entry.leaving.cancel();
        mEntries.remove(entry);
    }

    private void check() {
        mTimer = Optional.empty();
        while (!mEntries.isEmpty()) {
            Entry first = mEntries.first();
            if (!first.run.isOver()) {
                if (!first.run.startIfRoom()) {
                    break;
                }
                started();
            }
            leave(first);
        }
        List.copyOf(mEntries).stream().filter(entry -> entry.run.isOver()).forEach(this::leave);
        if (mEntries.isEmpty()) {
            mLastStartNanos = Optional.empty();
        }
        schedule();
    }
}
