package org.sesamedeck.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.request.Timers;

/** Timers that run on a Netty event loop. */
public final class EventLoopTimers implements Timers {
    private final EventLoop mLoop;

    private EventLoopTimers(EventLoop loop) {
        mLoop = loop;
    }

    /** Returns timers whose actions run on the given loop. */
    public static EventLoopTimers of(EventLoop loop) {
        return new EventLoopTimers(loop);
    }

    @Override
    public Timer schedule(Duration delay, Runnable action) {
        var future = mLoop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
