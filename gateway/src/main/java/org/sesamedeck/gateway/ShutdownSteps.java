package org.sesamedeck.gateway;

import java.time.Duration;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.RequestEngine;
import org.sesamedeck.request.Timers;

/** The steps of a planned stop in their order. Confined to the thread of the request engine. */
final class ShutdownSteps {
    private static final Duration CHECK = Duration.ofMillis(50);

    /** By then the balancer has missed two answers and sends no new connections. */
    private static final Duration BALANCER_DELAY = Duration.ofMillis(2_600);

    /**
     * Work accepted later might not end within the grace period; the platform allows for what was
     * sent in the first 3 s.
     */
    private static final Duration ACCEPTING = Duration.ofMillis(2_800);

    /** The process itself needs some time to end. */
    private static final Duration MARGIN = Duration.ofMillis(500);

    private final Clock mClock;
    private final Timers mTimers;
    private final RequestEngine mEngine;
    private final CallerServer mCallers;
    private final Duration mGrace;
    private long mBeganNanos;

    private ShutdownSteps(
            Clock clock,
            Timers timers,
            RequestEngine engine,
            CallerServer callers,
            Duration grace) {
        mClock = clock;
        mTimers = timers;
        mEngine = engine;
        mCallers = callers;
        mGrace = grace;
    }

    static ShutdownSteps of(
            Clock clock,
            Timers timers,
            RequestEngine engine,
            CallerServer callers,
            Duration grace) {
        return new ShutdownSteps(clock, timers, engine, callers, grace);
    }

    void start(Runnable ended) {
        mBeganNanos = mClock.nanoTime();
        mCallers.beginStop();
        check(ended);
    }

    private void check(Runnable ended) {
        Duration elapsed = Duration.ofNanos(mClock.nanoTime() - mBeganNanos);
        if (elapsed.compareTo(ACCEPTING) >= 0) {
            mEngine.stopAccepting();
        }
        if (elapsed.compareTo(BALANCER_DELAY) >= 0) {
            mCallers.closeIdle();
        }
        boolean isDone =
                elapsed.compareTo(ACCEPTING) >= 0
                        && mEngine.activeRequests() == 0
                        && mCallers.connections() == 0;
        if (isDone || elapsed.compareTo(mGrace.minus(MARGIN)) >= 0) {
            ended.run();
        } else {
            mTimers.schedule(CHECK, () -> check(ended));
        }
    }
}
