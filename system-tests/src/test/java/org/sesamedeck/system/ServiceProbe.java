package org.sesamedeck.system;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sesamedeck.emulator.http.Json;

/** Sends single requests through given entries. */
final class ServiceProbe {
    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(20);

    private final Fleet mFleet;
    private final CallerClient mClient = new CallerClient();

    private ServiceProbe(Fleet fleet) {
        mFleet = fleet;
    }

    static ServiceProbe of(Fleet fleet) {
        return new ServiceProbe(fleet);
    }

    /** Calls the plain service through the entry with the given index, counted from 0. */
    CallerClient.Response call(int entry) throws InterruptedException {
        return mClient.post(
                mFleet.entries().get(entry),
                "/services/" + mFleet.deployment().plan().plainService() + "/notes",
                mFleet.key(),
                "{}",
                CLIENT_TIMEOUT,
                Map.of());
    }

    /** Calls the plain service with an Idempotency-Key. */
    CallerClient.Response callWithIdempotencyKey(int entry, String idempotencyKey)
            throws InterruptedException {
        return mClient.post(
                mFleet.entries().get(entry),
                "/services/" + mFleet.deployment().plan().plainService() + "/notes",
                mFleet.key(),
                "{}",
                CLIENT_TIMEOUT,
                Map.of("Idempotency-Key", idempotencyKey));
    }

    /** Requests a short response of a model through an entry. */
    CallerClient.Response requestCompletion(int entry, String prompt) throws InterruptedException {
        var body =
                Json.object()
                        .put("model", mFleet.deployment().plan().models().get(0))
                        .put("output_tokens", 4);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return mClient.post(
                mFleet.entries().get(entry),
                "/v1/chat/completions",
                mFleet.key(),
                body.toString(),
                CLIENT_TIMEOUT,
                Map.of());
    }

    /** Requests responses through all entries in turn; returns the unsuccessful ones. */
    List<String> requestCompletions(String promptPrefix, int rounds) throws InterruptedException {
        List<String> failures = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            for (int entry = 0; entry < mFleet.entries().size(); entry++) {
                CallerClient.Response response =
                        requestCompletion(entry, promptPrefix + " " + round + " " + entry);
                if (response.status() != 200) {
                    failures.add("entry-" + (entry + 1) + ": " + response);
                }
            }
        }
        return failures;
    }
}
