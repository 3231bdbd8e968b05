package org.sesamedeck.gateway;

import java.time.Duration;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.RequestHandler;
import org.sesamedeck.request.Timers;

/** Runs the steps of a graceful shutdown. Confined to the thread of the request handler. */
final class GracefulShutdown {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    /**
     * By then two readiness checks of the load balancer have failed, and it sends no new
     * connections.
     */
    private static final Duration BALANCER_DELAY = Duration.ofMillis(2_600);

    /**
     * Requests accepted later might not finish within the grace period; the platform makes
     * allowance for requests sent in the first 3 s after the stop signal.
     */
    private static final Duration ACCEPT_PERIOD = Duration.ofMillis(2_800);

    /** Time that the process needs to exit. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(500);

    private final Clock mClock;
    private final Timers mTimers;
    private final RequestHandler mRequestHandler;
    private final CallerServer mCallerServer;
    private final Duration mGrace;
    private long mStartNanos;
    private boolean mIsListening = true;

    private GracefulShutdown(
            Clock clock,
            Timers timers,
            RequestHandler requestHandler,
            CallerServer callerServer,
            Duration grace) {
        mClock = clock;
        mTimers = timers;
        mRequestHandler = requestHandler;
        mCallerServer = callerServer;
        mGrace = grace;
    }

    static GracefulShutdown of(
            Clock clock,
            Timers timers,
            RequestHandler requestHandler,
            CallerServer callerServer,
            Duration grace) {
        return new GracefulShutdown(clock, timers, requestHandler, callerServer, grace);
    }

    void start(Runnable onFinished) {
        mStartNanos = mClock.nanoTime();
        mCallerServer.announceShutdown();
        check(onFinished);
    }

    private void check(Runnable onFinished) {
        Duration elapsed = Duration.ofNanos(mClock.nanoTime() - mStartNanos);
        if (elapsed.compareTo(ACCEPT_PERIOD) >= 0) {
            mRequestHandler.stopAccepting();
        }
        if (elapsed.compareTo(BALANCER_DELAY) >= 0) {
            mCallerServer.closeIdle();
        }
        boolean isDone =
                elapsed.compareTo(ACCEPT_PERIOD) >= 0
                        && mRequestHandler.activeRequests() == 0
                        && mCallerServer.connections() == 0;
        boolean isTimeOver = elapsed.compareTo(mGrace.minus(EXIT_MARGIN)) >= 0;
        if (isTimeOver || isDone && !mIsListening) {
            mRequestHandler.endAll();
            onFinished.run();
            return;
        }
        if (isDone) {
            // A connection that was accepted meanwhile shows at the next check.
            mCallerServer.stopListening();
            mIsListening = false;
        }
        mTimers.schedule(CHECK_INTERVAL, () -> check(onFinished));
    }
}
