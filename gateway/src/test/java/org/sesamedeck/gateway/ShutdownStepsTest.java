package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.request.PhaseObserver;
import org.sesamedeck.request.RequestEngine;
import org.sesamedeck.request.RequestSettings;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.RouterSettings;

class ShutdownStepsTest {
    private static final Duration GRACE = Duration.ofSeconds(8);

    private final ManualScheduler mTime = ManualScheduler.create();
    private final ManualTimers mTimers = new ManualTimers(mTime);
    private final EventLoop mLoop =
            (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final RequestEngine mEngine =
            RequestEngine.create(
                    mTime.clock(),
                    mTimers,
                    DefaultRouter.create(mTime.clock(), RouterSettings.defaults("east"), "node", 1),
                    new RecordingLog(),
                    new RequestSettings(0.1, 2, false, Duration.ZERO, Duration.ZERO),
                    new PhaseObserver() {
                        @Override
                        public void promptProcessed(String service, int tokens, Duration took) {}

                        @Override
                        public void streamed(String service, Duration pause, Duration target) {}
                    });
    private boolean mHasEnded;

    @AfterEach
    void closeLoop() {
        mLoop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void start() {
        PlainFormat format = new PlainFormat();
        EndpointClient client = EndpointClient.create(mLoop, mTime.clock(), format);
        CallerServer callers = CallerServer.create(mLoop, format, mEngine, client);
        ShutdownSteps.of(mTime.clock(), mTimers, mEngine, callers, GRACE)
                .start(() -> mHasEnded = true);
    }

    /** Guards against long answers that are begun when the grace period can no longer hold them. */
    @Test
    void requestsThatComeThreeSecondsAfterTheStopAreRefused() {
        start();
        mTime.advance(Duration.ofMillis(2_500));
        assertThat(mEngine.isAccepting(), is(true));
        mTime.advance(Duration.ofMillis(450));
        assertThat(mEngine.isAccepting(), is(false));
    }

    /** Guards against an idle process that keeps its host out of service. */
    @Test
    void idleProcessEndsSoonAfterItStopsAccepting() {
        start();
        mTime.advance(Duration.ofMillis(2_500));
        assertThat(mHasEnded, is(false));
        mTime.advance(Duration.ofMillis(900));
        assertThat(mHasEnded, is(true));
    }
}
