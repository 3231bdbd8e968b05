package org.sesamedeck.request;

import java.time.Duration;

/** Schedules actions on the thread that handles requests. */
public interface Timers {
    /** Runs the action once after the delay unless the returned timer is cancelled first. */
    Timer schedule(Duration delay, Runnable action);

    /** A scheduled action. */
    interface Timer {
        /** Cancels the action; has no effect after it has run. */
        void cancel();
    }
}
