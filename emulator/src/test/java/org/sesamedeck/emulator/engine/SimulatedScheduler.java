package org.sesamedeck.emulator.engine;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.ManualClock;

/** Runs scheduled tasks in submission order and advances the clock by their delays. */
final class SimulatedScheduler {
    private record Task(Runnable task, long delayNanos) {}

    private final ManualClock mClock;
    private final Deque<Task> mTasks = new ArrayDeque<>();

    private SimulatedScheduler(ManualClock clock) {
        mClock = clock;
    }

    static SimulatedScheduler of(ManualClock clock) {
        return new SimulatedScheduler(clock);
    }

    /** Returns an executor that supports only one-shot scheduling. */
    ScheduledExecutorService executor() {
        return (ScheduledExecutorService)
                Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {ScheduledExecutorService.class},
                        (proxy, method, arguments) -> {
                            if (!method.getName().equals("schedule")) {
                                throw new UnsupportedOperationException(method.getName());
                            }
                            long nanos = ((TimeUnit) arguments[2]).toNanos((Long) arguments[1]);
                            mTasks.add(new Task((Runnable) arguments[0], nanos));
                            return null;
                        });
    }

    /** Runs all tasks, including those they schedule; returns the elapsed simulated time. */
    Duration runAll() {
        long from = mClock.nanoTime();
        while (!mTasks.isEmpty()) {
            Task task = mTasks.poll();
            mClock.advance(Duration.ofNanos(task.delayNanos()));
            task.task().run();
        }
        return Duration.ofNanos(mClock.nanoTime() - from);
    }
}
