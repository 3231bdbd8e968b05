package org.sesamedeck.emulator.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.Random;
import org.sesamedeck.emulator.http.Json;
import org.sesamedeck.emulator.response.ChatRequest;
import org.sesamedeck.emulator.response.ServiceResponse;

/**
 * Generates the requests of a load test deterministically from the settings: exponentially
 * distributed inter-arrival times and a share of long prompts that oscillates over time.
 */
final class RequestPlan {
    private static final double ONE_STEP_SHARE = 0.2;
    private static final double SERVICE_SHARE = 0.15;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int SHARED_PREFIXES = 6;
    private static final int PREFIX_CHARACTERS = 512;
    private static final String[] WORDS = {
        "roast", "step", "salt", "valve", "heat", "note", "stir", "check", "bar", "rest"
    };

    private final LoadSettings mSettings;
    private final Random mRandom;
    private final String mRunName;
    private double mArrivalSeconds;
    private int mCount;

    private RequestPlan(LoadSettings settings, String runName) {
        mSettings = settings;
        mRandom = new Random(settings.seed());
        mRunName = runName;
    }

    /** Returns a plan; the run name makes operations and idempotency keys unique across runs. */
    static RequestPlan of(LoadSettings settings, String runName) {
        return new RequestPlan(settings, runName);
    }

    /** Returns the next request, or empty after the last. */
    Optional<PlannedRequest> next() {
        double uniform = 1 - mRandom.nextDouble();
        mArrivalSeconds += -Math.log(uniform) / mSettings.requestsPerSecond();
        if (mArrivalSeconds * NANOS_PER_SECOND > mSettings.duration().toNanos()) {
            return Optional.empty();
        }
        mCount++;
        LoadTestRequestKind kind = nextKind();
        String apiKey = mSettings.keys().get(mCount % mSettings.keys().size());
        boolean hasKey = mRandom.nextDouble() < mSettings.idempotencyShare();
        boolean isAtMostOnce = hasKey || kind == LoadTestRequestKind.SERVICE;
        String operation = OperationId.create(mRunName, mCount, isAtMostOnce);
        Optional<String> idempotencyKey =
                hasKey ? Optional.of("key-" + operation) : Optional.empty();
        return Optional.of(
                kind == LoadTestRequestKind.SERVICE
                        ? serviceRequest(apiKey, operation, idempotencyKey)
                        : chatRequest(kind, apiKey, operation, idempotencyKey));
    }

    private LoadTestRequestKind nextKind() {
        double choice = mRandom.nextDouble();
        if (choice < SERVICE_SHARE) {
            return mSettings.service().isPresent()
                    ? LoadTestRequestKind.SERVICE
                    : LoadTestRequestKind.ONE_STEP;
        }
        if (choice < SERVICE_SHARE + ONE_STEP_SHARE) {
            return LoadTestRequestKind.ONE_STEP;
        }
        double phase = 2 * Math.PI * mArrivalSeconds / (mSettings.mixPeriod().toNanos() / 1e9);
        double longPromptShare = 0.5 + 0.5 * mSettings.mixAmplitude() * Math.sin(phase);
        return mRandom.nextDouble() < longPromptShare
                ? LoadTestRequestKind.FULL_LOG
                : LoadTestRequestKind.SUMMARY;
    }

    private long arrivalNanos() {
        return (long) (mArrivalSeconds * NANOS_PER_SECOND);
    }

    private PlannedRequest serviceRequest(
            String apiKey, String operation, Optional<String> idempotencyKey) {
        String body =
                Json.object().put("operation", operation).put("note", randomWords(80)).toString();
        String path = "/visits";
        return new PlannedRequest(
                operation,
                LoadTestRequestKind.SERVICE,
                arrivalNanos(),
                "/services/" + mSettings.service().orElseThrow() + path,
                body,
                apiKey,
                idempotencyKey,
                Optional.empty(),
                ServiceResponse.result("POST", path, body));
    }

    private PlannedRequest chatRequest(
            LoadTestRequestKind kind,
            String apiKey,
            String operation,
            Optional<String> idempotencyKey) {
        int promptTokens = kind.promptTokens(mRandom.nextDouble());
        ObjectNode body =
                Json.object()
                        .put("model", mSettings.models().get(mCount % mSettings.models().size()))
                        .put("stream", true)
                        .put("operation", operation);
        // Requests share a few prompt prefixes. The operation makes each prompt unique, so a
        // response to another request is detected.
        int prefixNumber = mRandom.nextInt(SHARED_PREFIXES);
        String promptPrefix =
                ("procedure " + prefixNumber + " ").repeat(50).substring(0, PREFIX_CHARACTERS);
        String promptSuffix =
                operation + " " + randomWords(Math.max(0, promptTokens * 4 - PREFIX_CHARACTERS));
        body.putArray("messages")
                .addObject()
                .put("role", "user")
                .put("content", promptPrefix + promptSuffix);
        body.put("output_tokens", kind.outputTokens(mRandom.nextDouble()));
        return new PlannedRequest(
                operation,
                kind,
                arrivalNanos(),
                "/v1/chat/completions",
                body.toString(),
                apiKey,
                idempotencyKey,
                Optional.of(ChatRequest.parse(body).response()),
                "");
    }

    private String randomWords(int characters) {
        StringBuilder text = new StringBuilder(characters + 8);
        while (text.length() < characters) {
            text.append(WORDS[mRandom.nextInt(WORDS.length)]).append(' ');
        }
        return text.toString();
    }
}
