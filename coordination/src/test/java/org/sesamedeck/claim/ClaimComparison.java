package org.sesamedeck.claim;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.platform.ExecutorControlScheduler;
import org.sesamedeck.platform.FakeObjectStore;

/**
 * Measures the writes and the added latency of claim shards and of one object per claim, against
 * the fake store with a delay of 3 ms. Each request is claimed and, 20 ms later, completed with a
 * body of 200 bytes; the added latency is that of the claim, because callers do not wait for the
 * completion. One process owns all shards.
 */
public final class ClaimComparison {
    private static final Duration STORE_DELAY = Duration.ofMillis(3);
    private static final int MEASURED_SECONDS = 5;
    private static final int WARM_UP_SECONDS = 2;
    private static final byte[] BODY = new byte[200];

    private final Clock mClock = SystemClock.create();
    private final ScheduledExecutorService mControlThread =
            Executors.newSingleThreadScheduledExecutor();
    private final ScheduledExecutorService mStoreThread =
            Executors.newSingleThreadScheduledExecutor();
    private final ExecutorControlScheduler mScheduler = ExecutorControlScheduler.of(mControlThread);
    private final FakeObjectStore mStore =
            FakeObjectStore.create(ExecutorControlScheduler.of(mStoreThread), mClock);
    private final List<Long> mLatencies = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger mFailures = new AtomicInteger();
    private volatile boolean mIsMeasuring;
    private int mRequests;

    private ClaimComparison() {
        mStore.setDelay(STORE_DELAY);
    }

    /** Runs all measurements; takes about two minutes. */
    public static void main(String[] arguments) throws Exception {
        System.out.println(
                "design                          requests/s writes/s   KB/s  p50 ms  p99 ms"
                        + "  control CPU  failed");
        for (int rate : new int[] {50, 200, 1000, 4000}) {
            measure("object per claim", rate, null);
            measure("8 shards, 5 ms, unlimited", rate, settings(8, 5, 1_000_000));
            measure("8 shards, 5 ms, 240 writes/s", rate, settings(8, 5, 240));
            measure("32 shards, 250 ms", rate, settings(32, 250, 240));
        }
    }

    private static ClaimSettings settings(int shards, int intervalMillis, int writesPerSecond) {
        ClaimSettings standard = ClaimSettings.of(shards, Duration.ofMillis(intervalMillis));
        return new ClaimSettings(
                shards,
                standard.batchInterval(),
                writesPerSecond,
                standard.retention(),
                standard.segmentBytes(),
                standard.shardBytes());
    }

    private static void measure(String design, int rate, ClaimSettings settings) throws Exception {
        ClaimComparison comparison = new ClaimComparison();
        try {
            comparison.run(design, rate, settings);
        } finally {
            comparison.mControlThread.shutdownNow();
            comparison.mStoreThread.shutdownNow();
        }
    }

    private void run(String design, int rate, ClaimSettings settings) throws Exception {
        ClaimService service =
                settings == null
                        ? ObjectPerClaimService.create(mStore)
                        : DefaultClaimService.create(
                                mStore, mScheduler, mClock, settings, "process");
        CompletableFuture<Void> loaded = new CompletableFuture<>();
        mScheduler.execute(
                () -> {
                    List<CompletableFuture<Void>> acquisitions = new ArrayList<>();
                    int shards = settings == null ? 0 : settings.shards();
                    for (int shard = 0; shard < shards; shard++) {
                        acquisitions.add(service.acquireShard(shard));
                    }
                    CompletableFuture.allOf(acquisitions.toArray(CompletableFuture[]::new))
                            .thenRun(() -> loaded.complete(null));
                });
        loaded.get(10, TimeUnit.SECONDS);
        generate(service, rate, WARM_UP_SECONDS);
        long writes = mStore.calls().writes();
        long bytes = mStore.bytesWritten();
        long cpuNanos = controlCpuNanos();
        mIsMeasuring = true;
        generate(service, rate, MEASURED_SECONDS);
        mIsMeasuring = false;
        writes = mStore.calls().writes() - writes;
        bytes = mStore.bytesWritten() - bytes;
        cpuNanos = controlCpuNanos() - cpuNanos;
        List<Long> sorted = new ArrayList<>(mLatencies);
        Collections.sort(sorted);
        System.out.printf(
                Locale.ROOT,
                "%-30s %11d %8d %6d %7.1f %7.1f %11.1f%% %7d%n",
                design,
                rate,
                writes / MEASURED_SECONDS,
                bytes / MEASURED_SECONDS / 1024,
                quantile(sorted, 0.5),
                quantile(sorted, 0.99),
                cpuNanos / 1e7 / MEASURED_SECONDS,
                mFailures.get());
    }

    private void generate(ClaimService service, int rate, int seconds) throws Exception {
        CountDownLatch ticks = new CountDownLatch(seconds * 1000);
        long startNanos = mClock.nanoTime();
        int[] sent = new int[1];
        var generator =
                mControlThread.scheduleAtFixedRate(
                        () -> {
                            long due = (mClock.nanoTime() - startNanos) * rate / 1_000_000_000L;
                            while (sent[0] < due) {
                                sent[0]++;
                                request(service);
                            }
                            ticks.countDown();
                        },
                        1,
                        1,
                        TimeUnit.MILLISECONDS);
        ticks.await(seconds * 3L, TimeUnit.SECONDS);
        generator.cancel(false);
    }

    private void request(ClaimService service) {
        mRequests++;
        ClaimKey key = ClaimKey.of("customer", "key-" + mRequests);
        String attemptId = "attempt-" + mRequests;
        boolean isMeasured = mIsMeasuring;
        long startNanos = mClock.nanoTime();
        service.claim(new ClaimAttempt(key, key.hash(), attemptId, Duration.ofSeconds(10)))
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                mFailures.incrementAndGet();
                                return;
                            }
                            if (isMeasured) {
                                mLatencies.add(mClock.nanoTime() - startNanos);
                            }
                            mScheduler.schedule(
                                    Duration.ofMillis(20),
                                    () ->
                                            service.complete(
                                                    key,
                                                    attemptId,
                                                    ClaimOutcome.of(200, "text/plain", BODY)));
                        });
    }

    private long controlCpuNanos() throws Exception {
        return mControlThread
                .submit(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime())
                .get();
    }

    private static double quantile(List<Long> sorted, double quantile) {
        return sorted.isEmpty()
                ? Double.NaN
                : sorted.get((int) (quantile * (sorted.size() - 1))) / 1e6;
    }
}
