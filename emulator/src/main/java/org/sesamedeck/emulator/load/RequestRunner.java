package org.sesamedeck.emulator.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.emulator.http.Json;

/**
 * Runs one request to its end as the result codes require: a retryable refusal is retried after its
 * Retry-After delay, an interrupted stream is resumed with Last-Event-ID at any entry, a lost
 * stream is restarted, and a request with an Idempotency-Key sends the same key in every attempt.
 */
final class RequestRunner {
    private static final System.Logger LOGGER = System.getLogger(RequestRunner.class.getName());
    private static final String CONNECTION_BROKEN = "CONNECTION_BROKEN";
    private static final int MAX_ATTEMPTS = 60;
    private static final int MAX_UNKNOWN_OUTCOMES = 3;
    private static final long MAX_RETRY_DELAY_MILLIS = 2000;
    private static final long INITIAL_RETRY_DELAY_MILLIS = 50;

    private final PlannedRequest mRequest;
    private final CloseableHttpClient mClient;
    private final EntryBalancer mBalancer;
    private final Clock mClock;
    private final long mArrivalNanos;
    private final long mDeadlineNanos;
    private final List<String> mRefusals = new ArrayList<>();
    private final List<Long> mTokenIntervalMicros = new ArrayList<>();
    private ResponseVerifier mVerifier;
    private String mLastEventId = "";
    private long mLastTokenNanos;
    private long mFirstTokenMicros = -1;
    private boolean mWasAccepted;
    private int mAttempts;
    private int mUnknownOutcomes;
    private long mRetryDelayMillis;

    private RequestRunner(
            PlannedRequest request,
            CloseableHttpClient client,
            EntryBalancer balancer,
            Clock clock,
            long arrivalNanos,
            long clientTimeoutNanos) {
        mRequest = request;
        mClient = client;
        mBalancer = balancer;
        mClock = clock;
        mArrivalNanos = arrivalNanos;
        mDeadlineNanos = arrivalNanos + clientTimeoutNanos;
        resetResponse();
    }

    static RequestRunner of(
            PlannedRequest request,
            CloseableHttpClient client,
            EntryBalancer balancer,
            Clock clock,
            long arrivalNanos,
            long clientTimeoutNanos) {
        return new RequestRunner(
                request, client, balancer, clock, arrivalNanos, clientTimeoutNanos);
    }

    /**
     * Runs the request to its end on the calling thread: until an attempt decides the outcome, the
     * client timeout has passed or 60 attempts were made.
     */
    LoadTestRequestOutcome run() {
        Optional<LoadTestRequestOutcome> outcome = Optional.empty();
        while (outcome.isEmpty()) {
            boolean isExhausted =
                    mClock.nanoTime() - mDeadlineNanos > 0 || mAttempts >= MAX_ATTEMPTS;
            if (isExhausted) {
                return endUnsuccessfully("PATIENCE_EXHAUSTED");
            }
            mRetryDelayMillis = 0;
            outcome = attempt();
            if (outcome.isEmpty() && !sleepBeforeRetry()) {
                return endUnsuccessfully("INTERRUPTED");
            }
        }
        return outcome.get();
    }

    private boolean sleepBeforeRetry() {
        try {
            Thread.sleep(mRetryDelayMillis);
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Ends the request with its last refusal as detail, or with the reason if it was never refused.
     */
    private LoadTestRequestOutcome endUnsuccessfully(String reason) {
        return end(
                mWasAccepted
                        ? LoadTestRequestOutcome.Result.INCOMPLETE
                        : LoadTestRequestOutcome.Result.REFUSED,
                mRefusals.isEmpty() ? reason : mRefusals.get(mRefusals.size() - 1));
    }

    private LoadTestRequestOutcome end(LoadTestRequestOutcome.Result result, String detail) {
        return new LoadTestRequestOutcome(
                mRequest.kind(),
                result,
                detail,
                List.copyOf(mRefusals),
                mAttempts,
                mWasAccepted,
                mFirstTokenMicros,
                List.copyOf(mTokenIntervalMicros));
    }

    /**
     * Discards the received text, so that the next attempt requests the response from its start.
     */
    private void resetResponse() {
        mVerifier = mRequest.expectedResponse().map(ResponseVerifier::of).orElse(null);
        mLastEventId = "";
    }

    private void chooseRetryDelay() {
        long maxDelayMillis =
                Math.min(
                        MAX_RETRY_DELAY_MILLIS,
                        INITIAL_RETRY_DELAY_MILLIS << Math.min(mAttempts, 5));
        mRetryDelayMillis =
                ThreadLocalRandom.current().nextLong(maxDelayMillis / 2, maxDelayMillis);
    }

    /** Sends the request once; returns its outcome, or empty if it has to be retried. */
    private Optional<LoadTestRequestOutcome> attempt() {
        HostAddress entry = mBalancer.next();
        mAttempts++;
        HttpPost post = new HttpPost(mRequest.path());
        post.setEntity(new StringEntity(mRequest.body(), ContentType.APPLICATION_JSON));
        post.setHeader("X-Request-Id", mRequest.operation() + "-" + mAttempts);
        post.setHeader("Authorization", "Bearer " + mRequest.apiKey());
        mRequest.idempotencyKey().ifPresent(key -> post.setHeader("Idempotency-Key", key));
        if (!mLastEventId.isEmpty()) {
            post.setHeader("Last-Event-ID", mLastEventId);
        }
        HttpHost target = new HttpHost("http", entry.address(), entry.port());
        try (ClassicHttpResponse response = mClient.executeOpen(target, post, null)) {
            return response.getCode() == 200
                    ? readAcceptedResponse(response)
                    : readRefusal(response);
        } catch (ConnectException | ConnectTimeoutException | NoRouteToHostException unsent) {
            mBalancer.markUnavailable(entry);
            mRefusals.add("CONNECTION_REFUSED");
        } catch (IOException | ParseException broken) {
            mRefusals.add(CONNECTION_BROKEN);
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    "connection to {0} failed in attempt {1} of {2} (response started: {3}): {4}",
                    entry,
                    mAttempts,
                    mRequest.operation(),
                    mWasAccepted,
                    broken);
            boolean mayRepeat =
                    mRequest.kind() != LoadTestRequestKind.SERVICE
                            || mRequest.idempotencyKey().isPresent();
            if (!mayRepeat) {
                // It is unknown whether the call ran, and a POST must not run twice.
                return Optional.of(end(LoadTestRequestOutcome.Result.UNKNOWN, CONNECTION_BROKEN));
            }
        }
        if (mVerifier != null && mVerifier.isEnded()) {
            return Optional.of(verifiedOutcome());
        }
        if (mLastEventId.isEmpty()) {
            resetResponse();
        }
        chooseRetryDelay();
        return Optional.empty();
    }

    private Optional<LoadTestRequestOutcome> readAcceptedResponse(ClassicHttpResponse response)
            throws IOException, ParseException {
        if (mVerifier == null) {
            String body = EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
            mWasAccepted = true;
            recordToken();
            return Optional.of(verifiedServiceOutcome(body));
        }
        mWasAccepted = true;
        Header type = response.getFirstHeader("Content-Type");
        if (type != null && type.getValue().startsWith("text/event-stream")) {
            return readStream(response);
        }
        String body = EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
        recordToken();
        JsonNode message = Json.parse(body).path("choices").path(0).path("message");
        mVerifier.addText(message.path("content").asText(""));
        mVerifier.addEnd();
        return Optional.of(verifiedOutcome());
    }

    private LoadTestRequestOutcome verifiedServiceOutcome(String body) {
        try {
            boolean isExpected =
                    Json.parse(body).path("result").asText("").equals(mRequest.expectedResult());
            return isExpected
                    ? end(LoadTestRequestOutcome.Result.WHOLE, "")
                    : end(LoadTestRequestOutcome.Result.WRONG, ResponseFault.FOREIGN.name());
        } catch (IllegalArgumentException notJson) {
            return end(LoadTestRequestOutcome.Result.WRONG, ResponseFault.TRUNCATED.name());
        }
    }

    private Optional<LoadTestRequestOutcome> readStream(ClassicHttpResponse response)
            throws IOException {
        LoadTestEventReader events = LoadTestEventReader.of(response.getEntity().getContent());
        Optional<ServerSentEvent> event = events.next();
        while (event.isPresent()) {
            if (event.get().data().equals("[DONE]")) {
                mVerifier.addEnd();
            } else {
                JsonNode data = Json.parse(event.get().data());
                if (data.has("error")) {
                    return retryOrEnd(data.path("error"), 0);
                }
                String text = data.path("choices").path(0).path("delta").path("content").asText("");
                if (!text.isEmpty()) {
                    recordToken();
                }
                mVerifier.addText(text);
                mLastEventId = event.get().id().isEmpty() ? mLastEventId : event.get().id();
            }
            event = events.next();
        }
        // Callers take a stream that is closed normally without its end marker for the full
        // response, so it counts as truncated and is not resumed.
        if (!mVerifier.isEnded()) {
            mVerifier.addEnd();
            return Optional.of(
                    end(LoadTestRequestOutcome.Result.WRONG, ResponseFault.TRUNCATED.name()));
        }
        return Optional.of(verifiedOutcome());
    }

    private void recordToken() {
        long now = mClock.nanoTime();
        if (mFirstTokenMicros < 0) {
            mFirstTokenMicros = TimeUnit.NANOSECONDS.toMicros(now - mArrivalNanos);
        } else {
            mTokenIntervalMicros.add(TimeUnit.NANOSECONDS.toMicros(now - mLastTokenNanos));
        }
        mLastTokenNanos = now;
    }

    private LoadTestRequestOutcome verifiedOutcome() {
        return mVerifier
                .fault()
                .map(fault -> end(LoadTestRequestOutcome.Result.WRONG, fault.name()))
                .orElseGet(() -> end(LoadTestRequestOutcome.Result.WHOLE, ""));
    }

    private Optional<LoadTestRequestOutcome> readRefusal(ClassicHttpResponse response)
            throws IOException, ParseException {
        String body =
                response.getEntity() == null
                        ? ""
                        : EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
        long retryAfterMillis = 0;
        Header header = response.getFirstHeader("Retry-After");
        if (header != null && header.getValue().matches("[0-9]{1,4}")) {
            retryAfterMillis = TimeUnit.SECONDS.toMillis(Long.parseLong(header.getValue()));
        }
        JsonNode error = Json.object().put("name", "HTTP_" + response.getCode());
        try {
            JsonNode parsed = Json.parse(body).path("error");
            error = parsed.has("name") ? parsed : error;
        } catch (IllegalArgumentException notJson) {
            mRefusals.add("NOT_JSON");
        }
        return retryOrEnd(error, retryAfterMillis);
    }

    /**
     * Decides about a retry according to the error's name and its {@code retryable} field; returns
     * the outcome, or empty if the request has to be retried. With an Idempotency-Key, a request of
     * unknown outcome is retried until the third such error.
     */
    private Optional<LoadTestRequestOutcome> retryOrEnd(JsonNode error, long retryAfterMillis) {
        String name = error.path("name").asText("UNNAMED");
        mRefusals.add(name);
        if (name.equals(ResultCode.OUTCOME_UNKNOWN.name())) {
            mUnknownOutcomes++;
            boolean mayRepeat =
                    mRequest.idempotencyKey().isPresent()
                            && mUnknownOutcomes < MAX_UNKNOWN_OUTCOMES;
            if (!mayRepeat) {
                return Optional.of(end(LoadTestRequestOutcome.Result.UNKNOWN, name));
            }
        } else if (!error.path("retryable").asBoolean(false)) {
            return Optional.of(endUnsuccessfully(name));
        }
        if (name.equals(ResultCode.STREAM_LOST.name()) || mLastEventId.isEmpty()) {
            resetResponse();
        }
        chooseRetryDelay();
        mRetryDelayMillis =
                Math.max(mRetryDelayMillis, Math.min(retryAfterMillis, MAX_RETRY_DELAY_MILLIS));
        return Optional.empty();
    }
}
