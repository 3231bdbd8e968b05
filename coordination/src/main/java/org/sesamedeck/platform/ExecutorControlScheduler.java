package org.sesamedeck.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Control scheduler on a single-threaded executor; tasks after its shutdown are dropped. */
public final class ExecutorControlScheduler implements ControlScheduler {
    private static final Logger LOGGER = System.getLogger(ExecutorControlScheduler.class.getName());

    private final ScheduledExecutorService mExecutor;

    private ExecutorControlScheduler(ScheduledExecutorService executor) {
        mExecutor = executor;
    }

    /**
     * Returns a scheduler that runs tasks on the given executor.
     *
     * @param executor must have exactly one thread
     */
    public static ExecutorControlScheduler of(ScheduledExecutorService executor) {
        return new ExecutorControlScheduler(executor);
    }

    @Override
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        try {
            mExecutor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException failure) {
            LOGGER.log(Level.DEBUG, "control task dropped after shutdown", failure);
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            LOGGER.log(Level.ERROR, "control task failed", failure);
        }
    }
}
