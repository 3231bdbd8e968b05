package org.sesamedeck.emulator.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.sesamedeck.core.Clock;

/**
 * Runs an open-loop load test: each request is sent at its planned arrival time, whether or not
 * earlier requests have completed, so a slow system does not reduce its own load. Latency is
 * measured from the planned arrival time.
 */
public final class LoadRun {
    private static final int MAX_OPEN_REQUESTS = 1500;
    private static final long STACK_BYTES = 256 << 10;
    private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(5);

    private final LoadSettings mSettings;
    private final Clock mClock;
    private final LoadTestReport mReport;
    private final EntryBalancer mBalancer;
    private final Consumer<LoadTestReport> mProgress;

    private LoadRun(
            LoadSettings settings,
            Clock clock,
            EntryBalancer balancer,
            Consumer<LoadTestReport> progress) {
        mSettings = settings;
        mClock = clock;
        mReport = LoadTestReport.of(settings);
        mBalancer = balancer;
        mProgress = progress;
    }

    /**
     * Returns a load test; progress is reported every 5 s on the thread that calls {@link #run}.
     */
    public static LoadRun of(
            LoadSettings settings,
            Clock clock,
            EntryBalancer balancer,
            Consumer<LoadTestReport> progress) {
        return new LoadRun(settings, clock, balancer, progress);
    }

    /**
     * Sends all requests and waits until the last one has ended. A request that arrives while 1500
     * requests are in progress is not sent and is reported as unsent.
     */
    public LoadTestReport run() throws InterruptedException {
        String name = Long.toHexString(mClock.now().toEpochMilli());
        RequestPlan plan = RequestPlan.of(mSettings, name);
        ExecutorService executor =
                new ThreadPoolExecutor(
                        0,
                        MAX_OPEN_REQUESTS,
                        10,
                        TimeUnit.SECONDS,
                        new SynchronousQueue<>(),
                        task -> new Thread(null, task, "load", STACK_BYTES));
        try (CloseableHttpClient client = createClient()) {
            long start = mClock.nanoTime();
            long nextProgress = start + PROGRESS_INTERVAL.toNanos();
            Optional<PlannedRequest> request = plan.next();
            while (request.isPresent()) {
                long dueNanos = start + request.get().arrivalNanos();
                sleepUntil(Math.min(dueNanos, nextProgress));
                if (mClock.nanoTime() - nextProgress >= 0) {
                    mProgress.accept(mReport);
                    nextProgress += PROGRESS_INTERVAL.toNanos();
                }
                if (mClock.nanoTime() - dueNanos >= 0) {
                    send(executor, client, request.get(), dueNanos);
                    request = plan.next();
                }
            }
            executor.shutdown();
            while (!executor.awaitTermination(PROGRESS_INTERVAL.toNanos(), TimeUnit.NANOSECONDS)) {
                mProgress.accept(mReport);
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } finally {
            executor.shutdownNow();
        }
        return mReport;
    }

    /** Runs one request to its end on the calling thread. */
    static LoadTestRequestOutcome runOne(
            PlannedRequest request, EntryBalancer balancer, Clock clock, Duration clientTimeout)
            throws IOException {
        try (CloseableHttpClient client = createClient()) {
            return RequestRunner.of(
                            request,
                            client,
                            balancer,
                            clock,
                            clock.nanoTime(),
                            clientTimeout.toNanos())
                    .run();
        }
    }

    private void sleepUntil(long nanos) throws InterruptedException {
        long remainingNanos = nanos - mClock.nanoTime();
        if (remainingNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(remainingNanos);
        }
    }

    private void send(
            ExecutorService executor,
            CloseableHttpClient client,
            PlannedRequest request,
            long arrivalNanos) {
        RequestRunner runner =
                RequestRunner.of(
                        request,
                        client,
                        mBalancer,
                        mClock,
                        arrivalNanos,
                        mSettings.clientTimeout().toNanos());
        try {
            executor.execute(() -> mReport.add(runner.run()));
        } catch (RejectedExecutionException poolExhausted) {
            mReport.addUnsent();
        }
    }

    private static CloseableHttpClient createClient() {
        return HttpClients.custom()
                .setConnectionManager(
                        PoolingHttpClientConnectionManagerBuilder.create()
                                .setMaxConnTotal(MAX_OPEN_REQUESTS)
                                .setMaxConnPerRoute(MAX_OPEN_REQUESTS)
                                .setDefaultConnectionConfig(
                                        ConnectionConfig.custom()
                                                .setConnectTimeout(Timeout.ofSeconds(2))
                                                .setValidateAfterInactivity(
                                                        TimeValue.ofMilliseconds(200))
                                                .build())
                                .build())
                .setDefaultRequestConfig(
                        RequestConfig.custom().setResponseTimeout(Timeout.ofSeconds(30)).build())
                .disableAutomaticRetries()
                .disableContentCompression()
                .disableCookieManagement()
                .disableRedirectHandling()
                .build();
    }
}
