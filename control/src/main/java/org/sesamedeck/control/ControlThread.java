package org.sesamedeck.control;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.platform.ControlScheduler;

/** Single-threaded scheduler that owns the control state of the process. */
public final class ControlThread implements ControlScheduler, AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(ControlThread.class.getName());
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final ScheduledExecutorService mExecutor;

    private ControlThread() {
        ScheduledThreadPoolExecutor executor =
                new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "control"));
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setRemoveOnCancelPolicy(true);
        mExecutor = executor;
    }

    /** Returns a scheduler that accepts tasks. */
    public static ControlThread create() {
        return new ControlThread();
    }

    @Override
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        try {
            mExecutor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException stopped) {
            LOGGER.log(System.Logger.Level.DEBUG, "control thread is shut down; task discarded");
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            LOGGER.log(System.Logger.Level.ERROR, "control task failed", failure);
        }
    }

    @Override
    public void close() {
        mExecutor.shutdown();
        try {
            if (!mExecutor.awaitTermination(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                mExecutor.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
