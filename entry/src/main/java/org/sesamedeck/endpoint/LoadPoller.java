package org.sesamedeck.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.Router;

/** Polls the load of the engines in the router's subset on a dedicated thread. */
public final class LoadPoller implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(LoadPoller.class.getName());

    /** Header that states whether an engine is draining and takes no new requests. */
    private static final String DRAINING_HEADER = "X-Draining";

    /**
     * All entry processes must know within 3 s that an engine is draining, even while the platform
     * is unavailable.
     */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(500);

    private final EndpointClient mEndpointClient;
    private final Router mRouter;
    private final Clock mClock;
    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "load-poll");
                        thread.setDaemon(true);
                        return thread;
                    });

    private record Poll(EndpointDescription endpoint, EndpointExchange exchange) {}

    private LoadPoller(EndpointClient endpointClient, Router router, Clock clock) {
        mEndpointClient = endpointClient;
        mRouter = router;
        mClock = clock;
    }

    /** Returns a poller that runs until it is closed. */
    public static LoadPoller start(EndpointClient endpointClient, Router router, Clock clock) {
        LoadPoller poller = new LoadPoller(endpointClient, router, clock);
        poller.mScheduler.scheduleWithFixedDelay(
                poller::poll, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return poller;
    }

    private void poll() {
        List<Poll> polls = new ArrayList<>();
        try {
            for (EndpointDescription endpoint : mRouter.subset()) {
                if (endpoint.isEngine()) {
                    polls.add(
                            new Poll(
                                    endpoint,
                                    mEndpointClient.send(
                                            EndpointRequest.withoutBody(
                                                    endpoint.address(),
                                                    "GET",
                                                    "/v1/load",
                                                    Map.of()))));
                }
            }
            long deadlineNanos = mClock.nanoTime() + RESPONSE_TIMEOUT.toNanos();
            polls.forEach(poll -> recordResponse(poll, deadlineNanos));
        } catch (RuntimeException failure) {
            LOGGER.log(
                    System.Logger.Level.WARNING, "polling the load of the engines failed", failure);
        } finally {
            polls.forEach(poll -> poll.exchange().close());
        }
    }

    private void recordResponse(Poll poll, long deadlineNanos) {
        try {
            Duration remaining = Duration.ofNanos(Math.max(1, deadlineNanos - mClock.nanoTime()));
            Optional<EndpointResponse> response = poll.exchange().awaitResponse(remaining);
            response.flatMap(head -> head.header(LoadHeader.NAME))
                    .flatMap(text -> LoadHeader.parse(text, mClock.nanoTime()))
                    .ifPresent(report -> mRouter.reportLoad(poll.endpoint().name(), report));
            response.flatMap(head -> head.header(DRAINING_HEADER))
                    .ifPresent(value -> updateLeaving(poll.endpoint().name(), value));
            if (response.isPresent()) {
                // Reads the short body and the end of the response, so that the connection can be
                // reused.
                poll.exchange().read(remaining);
                poll.exchange().read(remaining);
            }
        } catch (SesamedeckException unreachable) {
            LOGGER.log(
                    System.Logger.Level.DEBUG,
                    "polling the load of {0} failed: {1}",
                    poll.endpoint().name(),
                    unreachable.getMessage());
        }
    }

    private void updateLeaving(String endpoint, String isDraining) {
        if (isDraining.equals("true")) {
            mRouter.markLeaving(endpoint);
        } else {
            mRouter.clearLeaving(endpoint);
        }
    }

    @Override
    public void close() {
        mScheduler.shutdownNow();
    }
}
