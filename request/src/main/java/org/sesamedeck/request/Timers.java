package org.sesamedeck.request;

import java.time.Duration;

/** Calls back later, on the thread of the core. */
public interface Timers {
    /** Runs the action once after the delay, unless the returned timer is cancelled before. */
    Timer schedule(Duration delay, Runnable action);

    /** A scheduled action. */
    interface Timer {
        /** Prevents the action; does nothing when it has run. */
        void cancel();
    }
}
