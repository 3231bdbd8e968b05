package org.sesamedeck.experiment;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.sesamedeck.core.ManualClock;

/** Runs discrete events on a manual clock; events of one instant run in the order of scheduling. */
final class EventQueue {
    private final ManualClock mClock = ManualClock.create();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long mSequence;

    private record Event(long atNanos, long sequence, Runnable action) {}

    ManualClock clock() {
        return mClock;
    }

    long nowNanos() {
        return mClock.nanoTime();
    }

    void scheduleAt(long atNanos, Runnable action) {
        mEvents.add(new Event(Math.max(atNanos, nowNanos()), mSequence++, action));
    }

    void scheduleAfter(double seconds, Runnable action) {
        scheduleAt(nowNanos() + Math.round(seconds * 1e9), action);
    }

    void scheduleEvery(double seconds, Runnable action) {
        scheduleAfter(
                seconds,
                () -> {
                    action.run();
                    scheduleEvery(seconds, action);
                });
    }

    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.poll();
            mClock.advance(Duration.ofNanos(event.atNanos() - nowNanos()));
            event.action().run();
        }
        mClock.advance(Duration.ofNanos(Math.max(0, endNanos - nowNanos())));
    }
}
