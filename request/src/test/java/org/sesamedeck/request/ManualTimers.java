package org.sesamedeck.request;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.sesamedeck.core.ManualClock;

/** Timers that fire when the test advances the clock. */
final class ManualTimers implements Timers {
    private final ManualClock mClock;
    private final PriorityQueue<Scheduled> mScheduled =
            new PriorityQueue<>(Comparator.comparingLong(scheduled -> scheduled.mAtNanos));

    ManualTimers(ManualClock clock) {
        mClock = clock;
    }

    private static final class Scheduled {
        private final long mAtNanos;
        private final Runnable mAction;

        Scheduled(long atNanos, Runnable action) {
            mAtNanos = atNanos;
            mAction = action;
        }
    }

    @Override
    public Timer schedule(Duration delay, Runnable action) {
        Scheduled scheduled = new Scheduled(mClock.nanoTime() + delay.toNanos(), action);
        mScheduled.add(scheduled);
        return () -> mScheduled.remove(scheduled);
    }

    /** Advances the clock and runs each action that becomes due, at its scheduled time. */
    void advance(Duration duration) {
        long end = mClock.nanoTime() + duration.toNanos();
        while (!mScheduled.isEmpty() && mScheduled.peek().mAtNanos <= end) {
            Scheduled next = mScheduled.poll();
            mClock.advance(Duration.ofNanos(Math.max(0, next.mAtNanos - mClock.nanoTime())));
            next.mAction.run();
        }
        mClock.advance(Duration.ofNanos(end - mClock.nanoTime()));
    }

    int pendingCount() {
        return mScheduled.size();
    }
}
