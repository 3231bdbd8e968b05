package org.sesamedeck.emulator.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;

/** Requests streams over many connections for a fixed duration. */
final class StreamLoad {
    private static final long MAX_NANOS = Duration.ofMinutes(2).toNanos();

    private final Clock mClock;
    private final List<HostAddress> mTargets;
    private final StreamRequests mRequests;
    private final AtomicLong mStreams = new AtomicLong();
    private final AtomicLong mEvents = new AtomicLong();
    private final AtomicLong mFailures = new AtomicLong();
    private final Histogram mFirstByte = new ConcurrentHistogram(MAX_NANOS, 3);

    /**
     * Measurements of one run.
     *
     * @param streamsPerSecond full streams per second
     * @param eventsPerSecond events per second, including end markers
     * @param firstByteMicros 50th and 99th percentile of the latency of the first byte of the body,
     *     in microseconds
     * @param failures connections that ended with an error
     */
    record Measurements(
            double streamsPerSecond,
            double eventsPerSecond,
            double[] firstByteMicros,
            long failures) {}

    private StreamLoad(Clock clock, List<HostAddress> targets, StreamRequests requests) {
        mClock = clock;
        mTargets = targets;
        mRequests = requests;
    }

    static StreamLoad of(Clock clock, List<HostAddress> targets, StreamRequests requests) {
        return new StreamLoad(clock, targets, requests);
    }

    /**
     * Requests streams until the duration has passed. A connection ends at its first failure.
     *
     * @param connections number of connections, each with its own thread
     * @param streamsPerSecond stream rate over all connections; 0 for no limit
     */
    Measurements run(int connections, double streamsPerSecond, Duration duration)
            throws InterruptedException {
        long startNanos = mClock.nanoTime();
        long endNanos = startNanos + duration.toNanos();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < connections; index++) {
            HostAddress target = mTargets.get(index % mTargets.size());
            Thread thread =
                    new Thread(
                            () -> runConnection(target, endNanos, streamsPerSecond / connections),
                            "stream-" + index);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        double seconds = (mClock.nanoTime() - startNanos) / 1e9;
        return new Measurements(
                mStreams.get() / seconds,
                mEvents.get() / seconds,
                new double[] {
                    mFirstByte.getValueAtPercentile(50) / 1e3,
                    mFirstByte.getValueAtPercentile(99) / 1e3
                },
                mFailures.get());
    }

    private void runConnection(HostAddress target, long endNanos, double streamsPerSecond) {
        try (StreamConnection connection = StreamConnection.open(mClock, target)) {
            long intervalNanos = streamsPerSecond == 0 ? 0 : (long) (1e9 / streamsPerSecond);
            // Connections start at random offsets, so that their requests do not arrive in bursts.
            long dueNanos =
                    mClock.nanoTime()
                            + (intervalNanos == 0
                                    ? 0
                                    : ThreadLocalRandom.current().nextLong(intervalNanos));
            while (mClock.nanoTime() < endNanos) {
                while (intervalNanos > 0 && mClock.nanoTime() < dueNanos) {
                    LockSupport.parkNanos(dueNanos - mClock.nanoTime());
                }
                dueNanos += intervalNanos;
                StreamConnection.Result result = connection.run(mRequests.next(), () -> {});
                mFirstByte.recordValue(Math.min(result.firstByteNanos(), MAX_NANOS));
                mStreams.incrementAndGet();
                mEvents.addAndGet(result.events());
            }
        } catch (IOException failure) {
            if (mFailures.getAndIncrement() == 0) {
                System.out.println("first failure: " + failure.getMessage());
            }
        }
    }
}
