package org.sesamedeck.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.http.Json;
import org.sesamedeck.emulator.response.ServiceResponse;

/**
 * Sends calls that may run at most once to a plain service. Each call carries an Idempotency-Key,
 * goes to a random entry and is retried with the same key until a response with status 200 or the
 * last attempt; some are sent twice concurrently. Each attempt has its own request identifier, so
 * the ledgers show which attempt ran.
 */
final class AtMostOnceWorkload {
    private static final int THREADS = 6;
    private static final int MAX_ATTEMPTS = 8;
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final double DUPLICATE_SHARE = 0.3;
    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(15);
    private static final String PATH = "/visits";

    private final Fleet mFleet;
    private final long mSeed;
    private final String mService;
    private final List<Thread> mThreads = new ArrayList<>();
    private final Set<String> mNotExecuted = Collections.synchronizedSet(new HashSet<>());
    private final Set<String> mCompletedOperations = Collections.synchronizedSet(new HashSet<>());
    private final List<String> mWrongResponses = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, Integer> mOutcomes = Collections.synchronizedMap(new HashMap<>());
    private final AtomicInteger mOperations = new AtomicInteger();
    private volatile boolean mIsStopped;

    private AtMostOnceWorkload(Fleet fleet, long seed) {
        mFleet = fleet;
        mSeed = seed;
        mService = "/services/" + fleet.deployment().plan().plainService();
    }

    static AtMostOnceWorkload start(Fleet fleet, long seed) {
        AtMostOnceWorkload workload = new AtMostOnceWorkload(fleet, seed);
        for (int i = 0; i < THREADS; i++) {
            Random random = new Random(seed * THREADS + i);
            workload.startThread("caller-" + i, () -> workload.callUntilStopped(random));
        }
        return workload;
    }

    private void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        synchronized (mThreads) {
            mThreads.add(thread);
        }
        thread.start();
    }

    /** Stops sending calls and waits until the calls in progress have ended. */
    void stop() throws InterruptedException {
        mIsStopped = true;
        List<Thread> threads;
        synchronized (mThreads) {
            threads = List.copyOf(mThreads);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    int completedOperations() {
        return mCompletedOperations.size();
    }

    /** Returns the number of attempts by outcome. */
    Map<String, Integer> outcomes() {
        return Map.copyOf(mOutcomes);
    }

    private void callUntilStopped(Random random) {
        try {
            while (!mIsStopped) {
                String operation = "once-" + mSeed + "-" + mOperations.incrementAndGet();
                List<Thread> duplicateThreads = new ArrayList<>();
                if (random.nextDouble() < DUPLICATE_SHARE) {
                    Random duplicateRandom = new Random(random.nextLong());
                    Thread thread =
                            new Thread(() -> callAsDuplicate(operation, "b", duplicateRandom));
                    thread.setDaemon(true);
                    thread.start();
                    duplicateThreads.add(thread);
                }
                call(operation, "a", random);
                for (Thread thread : duplicateThreads) {
                    thread.join();
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void callAsDuplicate(String operation, String caller, Random random) {
        try {
            call(operation, caller, random);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void call(String operation, String caller, Random random) throws InterruptedException {
        String body = Json.object().put("operation", operation).toString();
        CallerClient client = new CallerClient();
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            List<HostAddress> entries = mFleet.entries();
            String requestId = operation + "-" + caller + attempt;
            CallerClient.Response response =
                    client.post(
                            entries.get(random.nextInt(entries.size())),
                            mService + PATH,
                            mFleet.key(),
                            body,
                            CLIENT_TIMEOUT,
                            Map.of(
                                    "Idempotency-Key",
                                    "key-" + operation,
                                    "X-Request-Id",
                                    requestId,
                                    "X-Deadline-Millis",
                                    "4000"));
            if (recordResponse(operation, requestId, body, response)) {
                return;
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    /** Records the response to an attempt; returns whether the call has completed. */
    private boolean recordResponse(
            String operation, String requestId, String body, CallerClient.Response response) {
        if (response.status() == 200) {
            mOutcomes.merge("ANSWERED", 1, Integer::sum);
            mCompletedOperations.add(operation);
            String expected = ServiceResponse.result("POST", PATH, body);
            if (!response.body().contains(expected)) {
                mWrongResponses.add(requestId + ": " + response.body());
            }
            return true;
        }
        String name =
                response.isConnectionRefused()
                        ? "CONNECTION_REFUSED"
                        : response.error().path("name").asText("BROKEN");
        mOutcomes.merge(name, 1, Integer::sum);
        if (response.isConnectionRefused() || response.isNotExecuted()) {
            mNotExecuted.add(requestId);
        }
        return false;
    }

    /** Compares the responses with the ledgers; returns the violations of the invariants. */
    List<String> violations() throws Exception {
        List<String> violations = new ArrayList<>(mWrongResponses);
        Map<String, List<String>> requestsByOperation = new HashMap<>();
        for (JsonNode run : mFleet.serviceRuns()) {
            requestsByOperation
                    .computeIfAbsent(run.path("operation").asText(), absent -> new ArrayList<>())
                    .add(run.path("requestId").asText());
        }
        requestsByOperation.forEach(
                (operation, requests) -> {
                    if (requests.size() > 1) {
                        violations.add(operation + " ran more than once: " + requests);
                    }
                    requests.stream()
                            .filter(mNotExecuted::contains)
                            .forEach(
                                    request ->
                                            violations.add(
                                                    request
                                                            + " ran although it was"
                                                            + " reported as not executed"));
                });
        mCompletedOperations.stream()
                .filter(operation -> !requestsByOperation.containsKey(operation))
                .forEach(
                        operation -> violations.add(operation + " got a response but did not run"));
        return violations;
    }
}
