package org.sesamedeck.platform;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.sesamedeck.core.ManualClock;

/**
 * Runs tasks in the order of their due times on a manual clock, which moves only in {@link
 * #advance}. Tasks that are due at the same time run in the order of submission. Not thread-safe.
 */
public final class ManualScheduler implements ControlScheduler {
    private final ManualClock mClock;
    private final PriorityQueue<Entry> mEntries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Entry::nanos).thenComparingLong(Entry::number));
    private long mNextNumber;

    private ManualScheduler(ManualClock clock) {
        mClock = clock;
    }

    /** Returns a scheduler without tasks. */
    public static ManualScheduler create() {
        return new ManualScheduler(ManualClock.create());
    }

    /** Returns the clock that this scheduler moves. */
    public ManualClock clock() {
        return mClock;
    }

    @Override
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        mEntries.add(new Entry(mClock.nanoTime() + delay.toNanos(), mNextNumber++, task));
    }

    /** Moves the clock forward and runs every task that becomes due on the way. */
    public void advance(Duration duration) {
        long end = mClock.nanoTime() + duration.toNanos();
        while (!mEntries.isEmpty() && mEntries.peek().nanos() <= end) {
            Entry entry = mEntries.remove();
            long wait = entry.nanos() - mClock.nanoTime();
            if (wait > 0) {
                mClock.advance(Duration.ofNanos(wait));
            }
            entry.task().run();
        }
        mClock.advance(Duration.ofNanos(end - mClock.nanoTime()));
    }

    /** Runs the tasks that are due now. */
    public void runDue() {
        advance(Duration.ZERO);
    }

    private record Entry(long nanos, long number, Runnable task) {}
}
