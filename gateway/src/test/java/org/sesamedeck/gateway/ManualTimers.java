package org.sesamedeck.gateway;

import java.time.Duration;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.request.Timers;

/** Timers on a scheduler whose time the test advances. */
final class ManualTimers implements Timers {
    private final ManualScheduler mScheduler;

    ManualTimers(ManualScheduler scheduler) {
        mScheduler = scheduler;
    }

    @Override
    public Timer schedule(Duration delay, Runnable action) {
        boolean[] isCancelled = new boolean[1];
        mScheduler.schedule(
                delay,
                () -> {
                    if (!isCancelled[0]) {
                        action.run();
                    }
                });
        return () -> isCancelled[0] = true;
    }
}
