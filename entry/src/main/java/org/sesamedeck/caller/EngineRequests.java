package org.sesamedeck.caller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.endpoint.EndpointRequest;

/** Builds the HTTP requests that one relay sends to engines. */
final class EngineRequests {
    private final Clock mClock;
    private final ChatRequest mRequest;
    private final int mPriority;
    private final long mDeadlineNanos;

    EngineRequests(Clock clock, ChatRequest request, int priority, long deadlineNanos) {
        mClock = clock;
        mRequest = request;
        mPriority = priority;
        mDeadlineNanos = deadlineNanos;
    }

    /**
     * Returns the request that starts a stream; a continuation starts from the delivered text.
     *
     * @param hasStarted whether the caller has received a part of the response
     */
    EndpointRequest start(EngineAttempt attempt, String deliveredText, boolean hasStarted) {
        return EndpointRequest.withBody(
                attempt.address(),
                "POST",
                "/v1/chat/completions",
                headers(attempt, hasStarted),
                attempt.isContinuation()
                        ? mRequest.continuationBody(deliveredText)
                        : mRequest.engineBody());
    }

    /** Returns the request for the events of a stream after the last one received. */
    EndpointRequest resume(EngineAttempt attempt) {
        return EndpointRequest.withoutBody(
                attempt.address(),
                "GET",
                "/v1/streams/" + attempt.streamId() + "?after=" + attempt.lastNumber(),
                headers(attempt, true));
    }

    /** Returns the request that cancels a stream. */
    static EndpointRequest cancel(EngineAttempt attempt) {
        return EndpointRequest.withoutBody(
                attempt.address(), "DELETE", "/v1/streams/" + attempt.streamId(), Map.of());
    }

    private Map<String, List<String>> headers(EngineAttempt attempt, boolean hasStarted) {
        long remainingNanos = Math.max(0, mDeadlineNanos - mClock.nanoTime());
        Map<String, List<String>> headers = new LinkedHashMap<>();
        headers.put("Content-Type", List.of("application/json"));
        headers.put("Accept", List.of("text/event-stream"));
        headers.put(RequestFilter.REQUEST_ID_HEADER, List.of(attempt.streamId()));
        headers.put("X-Priority", List.of(String.valueOf(mPriority)));
        if (!hasStarted) {
            // The deadline applies only to the start; a started response is completed regardless.
            headers.put(
                    "X-Deadline-Millis",
                    List.of(String.valueOf(TimeUnit.NANOSECONDS.toMillis(remainingNanos))));
        }
        if (attempt.attemptNumber() > 1) {
            headers.put("X-Attempt", List.of(String.valueOf(attempt.attemptNumber())));
        }
        return headers;
    }
}
