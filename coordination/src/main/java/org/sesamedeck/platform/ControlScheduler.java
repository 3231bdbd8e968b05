package org.sesamedeck.platform;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * The single thread that owns control state. Tasks run one after the other and never overlap;
 * everything in this library that is not documented as thread-safe must be called from such a task.
 */
public interface ControlScheduler extends Executor {
    /** Runs a task on the control thread once the delay has passed in monotonic time. */
    void schedule(Duration delay, Runnable task);
}
