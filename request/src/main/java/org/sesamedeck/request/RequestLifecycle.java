package org.sesamedeck.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.quarantine.QuarantinedPart;

/**
 * The lifecycle of one request from its arrival to its end. Confined to one thread.
 *
 * <p>It ends exactly once: with a response, a refusal, a failure, an aborted stream or the
 * disconnection of the caller. A call that is still active then is cancelled, and a processed
 * prompt that was not used is released.
 */
public final class RequestLifecycle {
    /** Responses this short hardly occupy a decode batch, so they are not queued for capacity. */
    private static final int SHORT_RESPONSE_EVENTS = 5;

    private final RequestHandler mHandler;
    private final CallerRequest mRequest;
    private final Optional<AcceptedRequest> mAccepted;
    private final RequestPort mPort;
    private final RequestLog mLog;
    private final RequestDeadline mDeadline;
    private final StreamDelivery mStream;
    private final PromptPartGuard mPromptParts;
    private final AttemptHistory mHistory = new AttemptHistory();
    private Optional<Timers.Timer> mTimer = Optional.empty();
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<ProcessedPrompt> mProcessedPrompt = Optional.empty();
    private boolean mIsOver;
    private long mFirstByteNanos;

    private RequestLifecycle(
            RequestHandler handler,
            CallerRequest request,
            Optional<AcceptedRequest> accepted,
            RequestPort port) {
        mHandler = handler;
        mRequest = request;
        mAccepted = accepted;
        mPort = port;
        String target = accepted.map(it -> it.profile().target()).orElse("");
        mPromptParts =
                PromptPartGuard.of(
                        handler.quarantine(), handler.router(), target, request.promptParts());
        Optional<Route> route = accepted.map(AcceptedRequest::route);
        mLog = RequestLog.of(handler.clock(), request, route);
        mDeadline = RequestDeadline.of(handler.clock(), request, route);
        mStream = new StreamDelivery(port, request.lastEvent());
        accepted.ifPresent(it -> mLog.admitted(it, mDeadline.remainingNanos()));
    }

    /** Returns a request; without an accepted one, it can only be refused. */
    static RequestLifecycle of(
            RequestHandler handler,
            CallerRequest request,
            Optional<AcceptedRequest> accepted,
            RequestPort port) {
        return new RequestLifecycle(handler, request, accepted, port);
    }

    /** Returns whether the request has ended. */
    public boolean isOver() {
        return mIsOver;
    }

    void start() {
        Duration remainingTime = Duration.ofNanos(mDeadline.remainingNanos());
        mTimer = Optional.of(mHandler.timers().schedule(remainingTime, this::expire));
        if (refuseIfQuarantined() || endIf(mHandler.refusalOfSetBack(accepted(), mRequest))) {
            return;
        }
        if (!isQueueable(accepted().profile())) {
            dispatch();
            return;
        }
        RequestQueue queue = mHandler.requestQueue(accepted().service());
        QueueRank rank = accepted().access().rank();
        int ahead = queue.ahead(rank);
        if (ahead == 0 && dispatchIfCapacity()) {
            return;
        }
        mLog.queued(ahead, mHandler.router().decodeCapacity(accepted().profile()));
        if (!queue.enqueue(this, rank, remainingTime)) {
            refuseOverloaded();
        }
    }

    /** Returns whether a request may wait for decode capacity. */
    static boolean isQueueable(RequestProfile profile) {
        return profile.expectedOutputTokens() > SHORT_RESPONSE_EVENTS;
    }

    /** Refuses a request whose wait for decode capacity is too long to meet its deadline. */
    void refuseOverloaded() {
        if (!mIsOver && mAttempt.isEmpty()) {
            refuse(
                    ResultCode.OVERLOADED,
                    "engines have no room",
                    mHandler.overloadRetryAfter(accepted(), mRequest.identifier()));
        }
    }

    private void refuseUntilUsable(String cause) {
        refuse(ResultCode.OVERLOADED, cause, mHandler.retryAfter(accepted(), mRequest));
    }

    /** Sends the request if there is decode capacity for it, and returns whether there is. */
    boolean dispatchIfCapacity() {
        boolean hasCapacity = mHandler.router().decodeCapacity(accepted().profile()).isAvailable();
        if (hasCapacity) {
            dispatch();
        }
        return hasCapacity;
    }

    /** Ends the request because its caller disconnected; a call in progress is cancelled. */
    public void callerLeft() {
        if (!mIsOver) {
            mLog.callerLeft(mStream.isStarted());
            end(RequestOutcome.CALLER_LEFT);
        }
    }

    private void dispatch() {
        if (!mDeadline.allowsSending()) {
            expire();
            return;
        }
        if (endIf(accepted().access().refusal()) || refuseIfQuarantined()) {
            return;
        }
        RequestProfile profile = accepted().profile();
        PhaseSplitPolicy policy = mHandler.phaseSplit();
        RequestPhase phase = policy.nextPhase(profile, mProcessedPrompt, mHistory.mayPrefill());
        Optional<Assignment> chosen =
                policy.choose(profile, phase, mProcessedPrompt, mHistory, accepted().route());
        if (chosen.isEmpty()) {
            noEndpointAvailable(phase);
            return;
        }
        send(chosen.get(), phase);
    }

    private void noEndpointAvailable(RequestPhase phase) {
        if (phase == RequestPhase.PREFILL) {
            mHistory.prefillImpossible();
            dispatch();
            return;
        }
        perform(
                retryDecision().withoutEndpoint(),
                AttemptOutcome.NOT_SENT,
                "no endpoint can take the request now");
    }

    private void send(Assignment assignment, RequestPhase phase) {
        long remainingNanos = mDeadline.remainingNanos();
        AttemptFactory attempts = new AttemptFactory(mHandler, mRequest, accepted());
        Attempt attempt = attempts.create(this, assignment, phase, mPromptParts);
        mAttempt = Optional.of(attempt);
        CallOptions options =
                attempts.options(
                        attempt,
                        Duration.ofNanos(remainingNanos),
                        mProcessedPrompt,
                        mStream.lastEvent());
        mHistory.sent(phase);
        mHandler.workSent(accepted(), phase);
        mLog.sent(assignment.endpoint(), phase, remainingNanos);
        attempt.attach(mPort.send(assignment.endpoint(), options, attempt));
    }

    /** Handles a call that ended without a response that can be relayed. */
    void attemptFailed(Attempt attempt, AttemptOutcome outcome, String cause) {
        if (mIsOver) {
            return;
        }
        mAttempt = Optional.empty();
        mLog.attemptFailed(attempt, outcome, cause);
        if (attempt.phase() == RequestPhase.PREFILL) {
            // Its parts may have crashed the endpoint, and would crash the next one.
            if (outcome == AttemptOutcome.LOST && !mPromptParts.mayRepeat()) {
                refuse(ResultCode.OVERLOADED, cause, mHandler.defaultRetryAfter());
            } else {
                dispatch();
            }
            return;
        }
        mHistory.failed(attempt.endpoint().name(), outcome);
        if (outcome == AttemptOutcome.LOST) {
            mProcessedPrompt = Optional.empty(); // The handle works once and may have been used.
        }
        if (mHistory.isPromptDoubtful()) {
            releasePrompt();
        }
        perform(retryDecision().afterAttempt(outcome), outcome, cause);
    }

    /** Handles a failure response of an endpoint that ran the request. */
    void failureReceived(Attempt attempt, ResponseHead head, byte[] body) {
        if (mIsOver) {
            return;
        }
        if (attempt.phase() == RequestPhase.PREFILL) {
            attemptFailed(attempt, AttemptOutcome.REJECTED, "status " + head.status());
            return;
        }
        mAttempt = Optional.empty();
        mProcessedPrompt = Optional.empty();
        mHistory.failureReceived(attempt.endpoint().name());
        mLog.failureReceived(attempt, head.status());
        NextStep step = retryDecision().afterFailureResponse(head.status());
        if (step == NextStep.RELAY_FAILURE && !RetryPolicy.impliesNotRun(head.status())) {
            mPort.respond(head, body);
            mLog.completed(attempt, head.status(), mDeadline.elapsedNanos());
            end(RequestOutcome.FAILED_BY_ENDPOINT);
        } else if (step == NextStep.RELAY_FAILURE) {
            fail("endpoint ran the request and answered " + head.status());
        } else {
            perform(step, AttemptOutcome.FAILURE_ANSWERED, "status " + head.status());
        }
    }

    void promptProcessed(Attempt attempt, ResponseHead head, byte[] body) {
        if (mIsOver) {
            return;
        }
        mAttempt = Optional.empty();
        mHandler.phaseObserver()
                .promptProcessed(
                        accepted().service(),
                        mRequest.promptTokens(),
                        Duration.ofNanos(mHandler.clock().nanoTime() - attempt.sentNanos()));
        Optional<String> handle = mPort.processedPromptHandle(head, body);
        mLog.promptProcessed(attempt, handle.isPresent());
        mProcessedPrompt = handle.map(name -> new ProcessedPrompt(attempt.endpoint(), name));
        dispatch();
    }

    void events(Attempt attempt, ResponseHead head, List<EventStreamParser.Event> events) {
        if (mIsOver) {
            return;
        }
        if (!head.signed()) {
            attempt.endAsLost("stream bears no signature");
            return;
        }
        mProcessedPrompt = Optional.empty();
        mStream.deliver(head, events, mHandler.clock().nanoTime());
    }

    void streamEnded(Attempt attempt, ResponseHead head) {
        if (mIsOver) {
            return;
        }
        mAttempt = Optional.empty();
        mProcessedPrompt = Optional.empty();
        mStream.end(head, mHandler.clock().nanoTime());
        mHandler.streamCompleted(accepted().route(), accepted().service(), mStream);
        completed(attempt, head);
    }

    void fullResponse(Attempt attempt, ResponseHead head, byte[] body) {
        if (mIsOver) {
            return;
        }
        mAttempt = Optional.empty();
        mFirstByteNanos = mDeadline.elapsedNanos();
        mPort.respond(head, body);
        completed(attempt, head);
    }

    private void completed(Attempt attempt, ResponseHead head) {
        if (mStream.isStarted()) {
            mFirstByteNanos = mDeadline.sinceArrival(mStream.startedNanos());
        }
        boolean isOnTime = mFirstByteNanos <= accepted().route().targetLatency().toNanos();
        mLog.completed(attempt, head.status(), mFirstByteNanos);
        end(isOnTime ? RequestOutcome.SERVED : RequestOutcome.SERVED_LATE);
    }

    private RetryDecision retryDecision() {
        return new RetryDecision(
                accepted().route(),
                mHistory,
                mPromptParts,
                mStream,
                mDeadline,
                mHandler.retryBudget(accepted().service()));
    }

    private void perform(NextStep step, AttemptOutcome outcome, String cause) {
        switch (step) {
            case RETRY -> {
                mLog.retried(mStream.isStarted(), outcome, mHistory.runs());
                dispatch();
            }
            case REFUSE -> refuseUntilUsable(cause);
            case ABORT_STREAM -> abortStream(cause);
            default -> fail(cause);
        }
    }

    /** Ends the request at or near its deadline, the earlier of route and client timeout. */
    void expire() {
        if (mIsOver) {
            return;
        }
        cancelAttempt();
        if (mStream.isStarted()) {
            abortStream("time is over");
        } else if (mHistory.mayHaveRun()) {
            failWith(ResultCode.DEADLINE_EXCEEDED, "no answer in time");
        } else {
            refuse(ResultCode.OVERLOADED, "no endpoint began in time", Optional.empty());
        }
    }

    private void cancelAttempt() {
        mHistory.cancelled(mAttempt.map(Attempt::cancel).orElse(true));
        mAttempt = Optional.empty();
    }

    /**
     * Ends the request if there is a refusal; returns whether it has ended. Calls in progress go on
     * without such a check, since their endpoint has begun to work for the account.
     */
    private boolean endIf(Optional<ErrorResponse> refusal) {
        refusal.ifPresent(it -> endWithoutSending(it.code(), it.message(), it.retryAfter()));
        return refusal.isPresent();
    }

    /** Ends the request if it waits and the configuration in force no longer allows it. */
    void configurationChanged() {
        if (!mIsOver && mAttempt.isEmpty()) {
            endIf(accepted().access().refusal());
        }
    }

    /** Ends the request if its prompt has a quarantined part; returns whether it has ended. */
    private boolean refuseIfQuarantined() {
        Optional<QuarantinedPart> part =
                mStream.isStarted() ? Optional.empty() : mPromptParts.refusal();
        part.ifPresent(this::endAsQuarantined);
        return part.isPresent();
    }

    /** Ends the request if a part of its prompt has been quarantined and no answer has begun. */
    void quarantineChanged() {
        if (!mIsOver && !mStream.isStarted()) {
            mPromptParts.quarantinedPart().ifPresent(this::endAsQuarantined);
        }
    }

    private void endAsQuarantined(QuarantinedPart part) {
        cancelAttempt();
        endWithoutSending(
                ResultCode.PART_QUARANTINED,
                PromptPartGuard.cause(part),
                Optional.of(part.retryAfter()));
    }

    /** Ends a request that is not sent again; only one that has not run is told the code. */
    private void endWithoutSending(ResultCode code, String cause, Optional<Duration> retryAfter) {
        if (mStream.isStarted()) {
            abortStream(cause);
        } else if (mHistory.mayHaveRun()) {
            fail(cause);
        } else {
            refuse(code, cause, retryAfter);
        }
    }

    private void fail(String cause) {
        failWith(ResultCode.OUTCOME_UNKNOWN, cause);
    }

    private void abortStream(String cause) {
        mPort.abort();
        mLog.streamAborted(cause, mHistory.runs());
        end(RequestOutcome.BROKEN_OFF);
    }

    void refuse(ResultCode code, String cause, Optional<Duration> retryAfter) {
        mPort.sendError(new ErrorResponse(code, cause, retryAfter));
        mLog.refused(code, cause, retryAfter);
        end(RequestOutcome.REFUSED);
    }

    private void failWith(ResultCode code, String cause) {
        mPort.sendError(new ErrorResponse(code, cause, Optional.empty()));
        mLog.failed(code, cause, mHistory.runs());
        end(RequestOutcome.FAILED);
    }

    private void end(RequestOutcome outcome) {
        if (mIsOver) {
            return;
        }
        mIsOver = true;
        mTimer.ifPresent(Timers.Timer::cancel);
        mAttempt.ifPresent(Attempt::cancel);
        mAttempt = Optional.empty();
        releasePrompt();
        mAccepted.ifPresent(it -> it.access().ended(outcome));
        mHandler.ended(this, mLog.end(outcome, mFirstByteNanos, mDeadline.elapsedNanos()));
    }

    private void releasePrompt() {
        mProcessedPrompt.ifPresent(mPort::release);
        mProcessedPrompt = Optional.empty();
    }

    private AcceptedRequest accepted() {
        return mAccepted.orElseThrow();
    }
}
