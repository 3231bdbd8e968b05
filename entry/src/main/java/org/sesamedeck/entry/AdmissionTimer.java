package org.sesamedeck.entry;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.routing.AdmissionController;

/**
 * Calls {@link AdmissionController#advance()} at a fixed interval, because the admission controller
 * has no timer of its own.
 */
final class AdmissionTimer implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(AdmissionTimer.class.getName());
    private static final Duration INTERVAL = Duration.ofMillis(10);

    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "admission-timer");
                        thread.setDaemon(true);
                        return thread;
                    });

    private AdmissionTimer() {}

    static AdmissionTimer start(AdmissionController admissionController) {
        AdmissionTimer timer = new AdmissionTimer();
        timer.mScheduler.scheduleWithFixedDelay(
                () -> advance(admissionController),
                INTERVAL.toMillis(),
                INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        return timer;
    }

    private static void advance(AdmissionController admissionController) {
        try {
            admissionController.advance();
        } catch (RuntimeException failure) {
            LOGGER.log(System.Logger.Level.ERROR, "periodic admission pass failed", failure);
        }
    }

    @Override
    public void close() {
        mScheduler.shutdownNow();
    }
}
