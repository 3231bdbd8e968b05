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
import org.sesamedeck.request.RequestHandler;
import org.sesamedeck.request.RequestSettings;
import org.sesamedeck.request.UsageObserver;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.RouterSettings;
import org.sesamedeck.routing.quarantine.PartQuarantine;
import org.sesamedeck.routing.quarantine.QuarantineListener;

class GracefulShutdownTest {
    private static final Duration GRACE = Duration.ofSeconds(8);

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final ManualTimers mTimers = new ManualTimers(mScheduler);
    private final EventLoop mLoop =
            (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final RequestHandler mRequestHandler =
            RequestHandler.create(
                    mScheduler.clock(),
                    mTimers,
                    DefaultRouter.create(
                            mScheduler.clock(), RouterSettings.defaults("east"), "node", 1),
                    new RecordingLog(),
                    new RequestSettings(0.1, 2, false, Duration.ZERO, Duration.ZERO, 1 << 20),
                    new PhaseObserver() {
                        @Override
                        public void promptProcessed(
                                String service, int tokens, Duration duration) {}

                        @Override
                        public void streamCompleted(
                                String service,
                                Duration tokenInterval,
                                Duration tokenIntervalTarget) {}
                    },
                    PartQuarantine.create(
                            mScheduler.clock(), "node", QuarantineListener.ignoring()),
                    UsageObserver.NONE);
    private boolean mHasFinished;

    @AfterEach
    void closeLoop() {
        mLoop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void start() {
        PlainHeaderCodec headerCodec = new PlainHeaderCodec();
        EndpointClient client = EndpointClient.create(mLoop, mScheduler.clock(), headerCodec);
        CallerServer callerServer =
                CallerServer.create(
                        mLoop, mScheduler.clock(), headerCodec, mRequestHandler, client);
        GracefulShutdown.of(mScheduler.clock(), mTimers, mRequestHandler, callerServer, GRACE)
                .start(() -> mHasFinished = true);
    }

    /**
     * Guards against accepting requests whose long responses cannot finish within the grace period.
     */
    @Test
    void requestsThreeSecondsAfterShutdownAreRefused() {
        start();
        mScheduler.advance(Duration.ofMillis(2_500));
        assertThat(mRequestHandler.isAccepting(), is(true));
        mScheduler.advance(Duration.ofMillis(450));
        assertThat(mRequestHandler.isAccepting(), is(false));
    }

    /** Guards against an idle process that keeps its host out of service. */
    @Test
    void idleProcessExitsSoonAfterItStopsAccepting() {
        start();
        mScheduler.advance(Duration.ofMillis(2_500));
        assertThat(mHasFinished, is(false));
        mScheduler.advance(Duration.ofMillis(900));
        assertThat(mHasFinished, is(true));
    }
}
