package org.sesamedeck.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.endpoint.EndpointExchange;
import org.sesamedeck.endpoint.EndpointResponse;
import org.sesamedeck.endpoint.LoadHeader;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.RequestProfile;

/**
 * Sends a request to a plain service, with failover to other endpoints where that is allowed.
 *
 * <p>Another endpoint is tried when no endpoint can have run the request, or when one may have run
 * it and the method is idempotent without an {@code Idempotency-Key}. Both need the complete body,
 * so a streamed body that was started is never sent again. Not thread-safe.
 */
final class ServiceRelay {
    private static final int MAX_ATTEMPTS = 3;
    private static final int SERVER_ERROR = 500;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    private final RelayContext mContext;
    private final OpenRequest mOpenRequest;
    private final ServiceRequest mRequest;
    private final ServiceBody mBody;
    private final RequestProfile mProfile;
    private final RequestAdmission mAdmission;
    private final BodyReader mBodyReader;
    private final boolean mMayRepeat;
    private final Set<String> mExcluded = new HashSet<>();
    private Optional<Duration> mRetryAfter = Optional.empty();
    private Assignment mAssignment;
    private EndpointExchange mExchange;
    private boolean mMayHaveRun;
    private boolean mWasRejected;

    ServiceRelay(
            RelayContext context,
            OpenRequest openRequest,
            ServiceRequest request,
            ServiceBody body,
            RequestProfile profile,
            RequestAdmission admission,
            BodyReader bodyReader,
            boolean hasIdempotencyKey) {
        mContext = context;
        mOpenRequest = openRequest;
        mRequest = request;
        mBody = body;
        mProfile = profile;
        mAdmission = admission;
        mBodyReader = bodyReader;
        mMayRepeat = request.isIdempotent() && !hasIdempotencyKey;
    }

    /**
     * Returns the response's status and headers; the body is read from {@link #exchange()}.
     *
     * @throws CallerException when no endpoint responded
     */
    EndpointResponse send() {
        for (int attempt = 1; true; attempt++) {
            mAssignment =
                    mContext.router()
                            .choose(mProfile, mExcluded)
                            .orElseThrow(
                                    () -> finalFailure("no endpoint can take the request now"));
            mOpenRequest.setEndpoint(mAssignment.endpoint().name());
            String reason;
            try {
                EndpointResponse response = sendAttempt(attempt);
                if (!response.isConfirmedNotExecuted()) {
                    return response;
                }
                mWasRejected = true;
                mRetryAfter = response.retryAfter();
                reason = "the endpoint refused with status " + response.status();
            } catch (SesamedeckException failure) {
                mMayHaveRun |= failure.code() != ResultCode.UNAVAILABLE;
                reason = failure.getMessage();
            }
            mExcluded.add(mAssignment.endpoint().name());
            mAssignment.failed(mRetryAfter);
            close();
            boolean mayRetry = mBody.canBeSent() && (mMayRepeat || !mMayHaveRun);
            if (!mayRetry || attempt >= MAX_ATTEMPTS || !mContext.retryBudget().tryRetry()) {
                throw finalFailure(reason);
            }
        }
    }

    private EndpointResponse sendAttempt(int attempt) {
        mExchange =
                mContext.endpointClient()
                        .send(
                                mRequest.toEndpoint(
                                        mAssignment.endpoint().address(),
                                        headers(attempt),
                                        mBody.buffered(),
                                        mBody.streamedLength()));
        if (!mExchange.awaitSent(CONNECT_TIMEOUT)) {
            throw SesamedeckException.of(ResultCode.OUTCOME_UNKNOWN, "no connection in time");
        }
        if (mBody.streamedLength().isPresent()) {
            sendBody();
        }
        Optional<EndpointResponse> response =
                mExchange.awaitResponse(mAdmission.remaining(mProfile.deadlineNanos()));
        if (response.isEmpty()) {
            mMayHaveRun = true;
            throw CallerException.of(
                    ResultCode.OUTCOME_UNKNOWN, "the endpoint did not answer in time");
        }
        response.get()
                .header(LoadHeader.NAME)
                .flatMap(text -> LoadHeader.parse(text, mContext.clock().nanoTime()))
                .ifPresent(
                        load -> mContext.router().reportLoad(mAssignment.endpoint().name(), load));
        return response.get();
    }

    private void sendBody() {
        try {
            mBody.copyTo(mExchange.requestBody());
        } catch (ServiceBody.CallerReadException failure) {
            // The endpoint has received a part of the request and may have run it.
            mMayHaveRun = true;
            CallerException cause = mBodyReader.failureOf((IOException) failure.getCause());
            throw CallerException.of(
                    cause.code(), org.sesamedeck.core.Execution.UNKNOWN, cause.getMessage());
        } catch (IOException failure) {
            // An endpoint may respond early without reading the full body; use that response.
            mExchange
                    .awaitResponse(Duration.ofSeconds(1))
                    .orElseThrow(
                            () ->
                                    SesamedeckException.of(
                                            ResultCode.OUTCOME_UNKNOWN,
                                            "the endpoint took only a part of the body",
                                            failure));
        }
    }

    private Map<String, String> headers(int attempt) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(RequestFilter.REQUEST_ID_HEADER, mOpenRequest.id());
        headers.put(
                "X-Deadline-Millis",
                String.valueOf(mAdmission.remaining(mProfile.deadlineNanos()).toMillis()));
        if (attempt > 1) {
            headers.put("X-Attempt", String.valueOf(attempt));
        }
        return headers;
    }

    private CallerException finalFailure(String reason) {
        if (mMayHaveRun) {
            return CallerException.of(ResultCode.OUTCOME_UNKNOWN, reason);
        }
        return CallerException.retryAfter(
                mWasRejected ? ResultCode.OVERLOADED : ResultCode.UNAVAILABLE, reason, mRetryAfter);
    }

    EndpointExchange exchange() {
        return mExchange;
    }

    /** Returns whether the endpoint is in another region. */
    boolean isOtherRegion() {
        return !mAssignment.endpoint().region().equals(mContext.region());
    }

    /** Records that the response was relayed to its end. */
    void recordCompleted(EndpointResponse response) {
        if (response.status() >= SERVER_ERROR) {
            mAssignment.failed(response.retryAfter());
        } else {
            mAssignment.succeeded(0, 0);
        }
    }

    /** Records that the endpoint ended its response early. */
    void recordIncomplete() {
        mAssignment.failed(Optional.empty());
    }

    /** Ends the exchange and releases the endpoint. */
    void close() {
        if (mExchange != null) {
            mExchange.close();
        }
        if (mAssignment != null) {
            mAssignment.close();
        }
    }
}
