package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.DecodeCapacity;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.RequestPhase;

/** Records the decisions on one request, with the inputs that determined them, in its trace. */
final class RequestLog {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Clock mClock;
    private final RequestTrace mTrace;
    private final CallerRequest mRequest;
    private Optional<RequestAccess> mAccess = Optional.empty();

    private RequestLog(Clock clock, RequestTrace trace, CallerRequest request) {
        mClock = clock;
        mTrace = trace;
        mRequest = request;
    }

    static RequestLog of(Clock clock, CallerRequest request, Optional<Route> route) {
        return new RequestLog(
                clock,
                RequestTrace.of(request.identifier(), route.map(Route::name).orElse("")),
                request);
    }

    void admitted(AcceptedRequest accepted, long remainingNanos) {
        mAccess = Optional.of(accepted.access());
        LogEntry entry = add(Decision.ADMITTED);
        accepted.access().account().ifPresent(account -> entry.with("account", account.name()));
        entry.with("route", accepted.route().name())
                .with("kind", accepted.route().kind())
                .with("service", accepted.service())
                .with("configurationVersion", accepted.configurationVersion())
                .with("timeLeftMillis", remainingNanos / NANOS_PER_MILLI)
                .with("promptTokens", mRequest.promptTokens())
                .with("outputTokens", mRequest.outputTokens())
                .with("promptParts", mRequest.promptParts());
    }

    void queued(int ahead, DecodeCapacity capacity) {
        addRanked(Decision.WAITING)
                .with("ahead", ahead)
                .with("answersInProgress", capacity.inProgress())
                .with("answerLimit", capacity.limit());
    }

    void sent(EndpointDescription endpoint, RequestPhase phase, long remainingNanos) {
        addRanked(Decision.SENT)
                .with("endpoint", endpoint.name())
                .with("phase", phase)
                .with("timeLeftMillis", remainingNanos / NANOS_PER_MILLI)
                .with("endpointRegion", endpoint.region());
    }

    void attemptFailed(Attempt attempt, AttemptOutcome outcome, String cause) {
        Decision decision =
                switch (outcome) {
                    case NOT_SENT -> Decision.NOT_SENT;
                    case REJECTED -> Decision.REJECTED;
                    default -> Decision.BROKEN;
                };
        LogEntry entry =
                add(decision)
                        .with("endpoint", attempt.endpoint().name())
                        .with("phase", attempt.phase())
                        .with("cause", cause);
        if (decision == Decision.BROKEN) {
            entry.with("answerBegan", attempt.hasEvents());
        }
    }

    void failureReceived(Attempt attempt, int status) {
        add(Decision.FAILURE_ANSWERED)
                .with("endpoint", attempt.endpoint().name())
                .with("status", status);
    }

    void promptProcessed(Attempt attempt, boolean hasHandle) {
        add(Decision.PROMPT_PROCESSED)
                .with("endpoint", attempt.endpoint().name())
                .with("hasHandle", hasHandle);
    }

    void completed(Attempt attempt, int status, long firstByteNanos) {
        add(Decision.ANSWERED)
                .with("endpoint", attempt.endpoint().name())
                .with("status", status)
                .with("firstByteMillis", firstByteNanos / NANOS_PER_MILLI);
    }

    void retried(boolean isResumption, AttemptOutcome after, int runs) {
        add(isResumption ? Decision.RESUMED : Decision.RETRIED)
                .with("after", after)
                .with("runs", runs);
    }

    void refused(ResultCode code, String cause, Optional<Duration> retryAfter) {
        add(Decision.REFUSED)
                .with("code", code.number())
                .with("cause", cause)
                .with("retryAfterMillis", retryAfter.map(Duration::toMillis).orElse(0L));
    }

    void failed(ResultCode code, String cause, int runs) {
        add(Decision.FAILED).with("code", code.number()).with("cause", cause).with("runs", runs);
    }

    void streamAborted(String cause, int runs) {
        add(Decision.BROKEN_OFF).with("cause", cause).with("runs", runs);
    }

    void callerLeft(boolean streamStarted) {
        add(Decision.CALLER_LEFT).with("streamBegun", streamStarted);
    }

    /** Completes and returns the trace; times are since arrival, in nanoseconds. */
    RequestTrace end(RequestOutcome outcome, long firstByteNanos, long totalNanos) {
        mTrace.end(outcome, firstByteNanos, totalNanos);
        return mTrace;
    }

    private LogEntry addRanked(Decision decision) {
        LogEntry entry = add(decision);
        mAccess.filter(access -> access.rank().isSetBack())
                .ifPresent(access -> entry.with("setBack", true));
        return entry;
    }

    private LogEntry add(Decision decision) {
        return mTrace.add(decision, mClock.nanoTime());
    }
}
