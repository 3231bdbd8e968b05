package org.sesamedeck.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.sesamedeck.core.ManualClock;

/**
 * The control thread of a process that can be paused, resumed and killed. Its monotonic clock
 * advances while it is paused, as that of a stopped process does; tasks that become due meanwhile
 * run when it resumes.
 */
public final class SimulatedProcess implements ControlScheduler {
    private final ManualScheduler mScheduler;
    private final Deque<Runnable> mDeferredTasks = new ArrayDeque<>();
    private int mPauses;
    private boolean mIsKilled;

    private SimulatedProcess(ManualScheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Returns a running process. */
    public static SimulatedProcess start(ManualScheduler scheduler) {
        return new SimulatedProcess(scheduler);
    }

    /** Returns the clock of the scheduler. */
    public ManualClock clock() {
        return mScheduler.clock();
    }

    @Override
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        mScheduler.schedule(delay, () -> run(task));
    }

    private void run(Runnable task) {
        if (mIsKilled) {
            return;
        }
        if (mPauses > 0) {
            mDeferredTasks.add(task);
            return;
        }
        task.run();
    }

    /** Pauses for the given time; pauses may overlap. */
    public void pause(Duration duration) {
        mPauses++;
        mScheduler.schedule(duration, this::resume);
    }

    private void resume() {
        mPauses--;
        while (mPauses == 0 && !mDeferredTasks.isEmpty()) {
            run(mDeferredTasks.remove());
        }
    }

    /** Returns whether the process runs tasks now. */
    public boolean isRunning() {
        return !mIsKilled && mPauses == 0;
    }

    /** Ends the process at once; no further task of it runs. */
    public void kill() {
        mIsKilled = true;
        mDeferredTasks.clear();
    }

    /** Returns whether the process was killed. */
    public boolean isKilled() {
        return mIsKilled;
    }
}
