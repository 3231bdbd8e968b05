package org.sesamedeck.daemon;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import sun.misc.Signal;

/**
 * Shuts a daemon down without interrupting requests: the daemon becomes unready, waits for the load
 * balancer to notice, refuses new work, waits for the work in progress, releases what it holds and
 * exits. The wait has no time limit, because a limit would cut responses off; a further signal only
 * logs the work still in progress.
 */
public final class ShutdownSequence {
    private static final System.Logger LOGGER = System.getLogger(ShutdownSequence.class.getName());
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final int MAX_LOGGED_ITEMS = 20;

    private final Drainable mDrainable;
    private final Duration mBalancerDelay;
    private final AtomicInteger mSignalCount = new AtomicInteger();

    private ShutdownSequence(Drainable drainable, Duration balancerDelay) {
        mDrainable = drainable;
        mBalancerDelay = balancerDelay;
    }

    static ShutdownSequence of(Drainable drainable, Duration balancerDelay) {
        return new ShutdownSequence(drainable, balancerDelay);
    }

    /** Handles SIGTERM and SIGINT; the default handler would end the process immediately. */
    void install() {
        Signal.handle(new Signal("TERM"), signal -> onSignal());
        Signal.handle(new Signal("INT"), signal -> onSignal());
    }

    /** Returns whether a stop signal has been received. */
    boolean isStopping() {
        return mSignalCount.get() > 0;
    }

    private void onSignal() {
        if (mSignalCount.incrementAndGet() == 1) {
            new Thread(this::drainAndExit, "shutdown").start();
            return;
        }
        List<String> work = mDrainable.workInProgress();
        LOGGER.log(
                System.Logger.Level.INFO,
                "still stopping; waiting for {0} items: {1}",
                work.size(),
                work.subList(0, Math.min(work.size(), MAX_LOGGED_ITEMS)));
    }

    private void drainAndExit() {
        LOGGER.log(System.Logger.Level.INFO, "stopping: reporting not ready");
        int status = 0;
        try {
            Thread.sleep(mBalancerDelay.toMillis());
            mDrainable.stopAccepting();
            LOGGER.log(
                    System.Logger.Level.INFO,
                    "stopping: waiting for {0} items",
                    mDrainable.workInProgress().size());
            while (!mDrainable.workInProgress().isEmpty()) {
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
            mDrainable.release();
            LOGGER.log(System.Logger.Level.INFO, "stopped");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            status = 1;
        } catch (RuntimeException failure) {
            LOGGER.log(System.Logger.Level.ERROR, "shutdown failed", failure);
            status = 1;
        }
        System.exit(status);
    }
}
