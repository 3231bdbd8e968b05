package org.sesamedeck.gateway;

import java.time.Duration;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.request.Timers;

/** Timers on a scheduler that the test moves. */
final class ManualTimers implements Timers {
    private final ManualScheduler mTime;

    ManualTimers(ManualScheduler time) {
        mTime = time;
    }

    @Override
    public Timer schedule(Duration delay, Runnable action) {
        boolean[] isCancelled = new boolean[1];
        mTime.schedule(
                delay,
                () -> {
                    if (!isCancelled[0]) {
                        action.run();
                    }
                });
        return () -> isCancelled[0] = true;
    }
}
