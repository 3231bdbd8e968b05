package org.sesamedeck.emulator.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;

/** Holds many streams open at the same time. */
final class OpenStreams {
    private static final Duration OPEN_TIMEOUT = Duration.ofSeconds(60);
    private static final long STACK_BYTES = 128 * 1024;

    private final CountDownLatch mOpened;
    private final AtomicInteger mCompleted = new AtomicInteger();
    private final List<Thread> mThreads = new ArrayList<>();

    private OpenStreams(int count) {
        mOpened = new CountDownLatch(count);
    }

    /** Starts the given number of streams, each on its own connection. */
    static OpenStreams start(Clock clock, HostAddress target, StreamRequests requests, int count) {
        OpenStreams streams = new OpenStreams(count);
        for (int index = 0; index < count; index++) {
            Thread thread =
                    new Thread(
                            null,
                            () -> streams.runOne(clock, target, requests),
                            "open-" + index,
                            STACK_BYTES);
            thread.start();
            streams.mThreads.add(thread);
        }
        return streams;
    }

    private void runOne(Clock clock, HostAddress target, StreamRequests requests) {
        try (StreamConnection connection = StreamConnection.open(clock, target)) {
            connection.run(requests.next(), mOpened::countDown);
            mCompleted.incrementAndGet();
        } catch (IOException failure) {
            System.err.println("stream failed: " + failure.getMessage());
        }
    }

    /** Waits up to 60 s until every stream has its first byte; returns how many still have none. */
    long awaitOpen() throws InterruptedException {
        mOpened.await(OPEN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return mOpened.getCount();
    }

    /** Waits until all streams have ended; returns the number that completed. */
    int awaitEnd() throws InterruptedException {
        for (Thread thread : mThreads) {
            thread.join();
        }
        return mCompleted.get();
    }
}
