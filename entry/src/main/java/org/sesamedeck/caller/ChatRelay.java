package org.sesamedeck.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Execution;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.endpoint.EndpointRequest;
import org.sesamedeck.endpoint.EndpointResponse;
import org.sesamedeck.endpoint.LoadHeader;
import org.sesamedeck.endpoint.StreamEvent;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.RequestProfile;

/**
 * Combines the streams of one or more engines into one complete stream for the caller. After a
 * failure the relay first resumes the stream at the same engine; once that has failed, {@link
 * RecoveryPolicy} decides whether another engine may continue. Each attempt has its own stream
 * identifier, so an engine that is chosen again does not return the old stream. Not thread-safe.
 */
final class ChatRelay {
    private static final System.Logger LOGGER = System.getLogger(ChatRelay.class.getName());
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_ENGINE_FAILURES = 3;
    private static final Duration ERROR_BODY_TIMEOUT = Duration.ofMillis(500);

    /** Maximum time that an interrupted request waits for an engine that can take it over. */
    private static final Duration NO_ENGINE_TIMEOUT = Duration.ofSeconds(10);

    /** Covers queueing and prefill of a long prompt at the engine before the first event. */
    private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofSeconds(20);

    private static final Duration NEXT_EVENT_TIMEOUT = Duration.ofSeconds(5);

    private final RelayContext mContext;
    private final OpenRequest mOpenRequest;
    private final ChatRequest mRequest;
    private final RequestProfile mProfile;
    private final ChatPromptGuard mPromptGuard;
    private final boolean mMayRepeat;
    private final long mDeadlineNanos;
    private final EngineRequests mEngineRequests;
    private final ResponseAccumulator mResponse = ResponseAccumulator.create();
    private final Set<String> mExcluded = new HashSet<>();
    private EngineAttempt mAttempt;
    private int mAttemptCount;
    private long mSkipThroughEvent;
    private long mNoEngineSinceNanos;
    private Optional<Duration> mRetryAfter = Optional.empty();
    private boolean mIsResumedByToken;
    private boolean mHasDelivered;
    private boolean mMayHaveRun;
    private boolean mWasRejected;
    private boolean mIsClosed;
    private boolean mIsDone;

    private ChatRelay(
            RelayContext context,
            OpenRequest openRequest,
            ChatRequest request,
            RequestProfile profile,
            ChatPromptGuard promptGuard,
            boolean mayRepeat,
            long deadlineNanos) {
        mContext = context;
        mOpenRequest = openRequest;
        mRequest = request;
        mProfile = profile;
        mPromptGuard = promptGuard;
        mMayRepeat = mayRepeat;
        mDeadlineNanos = deadlineNanos;
        mEngineRequests =
                new EngineRequests(context.clock(), request, profile.priority(), deadlineNanos);
    }

    /**
     * Returns a relay for an admitted request.
     *
     * @param mayRepeat whether the request may run more than once
     * @param deadlineNanos monotonic time by which the first event must have arrived
     */
    static ChatRelay of(
            RelayContext context,
            OpenRequest openRequest,
            ChatRequest request,
            RequestProfile profile,
            ChatPromptGuard promptGuard,
            boolean mayRepeat,
            long deadlineNanos) {
        return new ChatRelay(
                context, openRequest, request, profile, promptGuard, mayRepeat, deadlineNanos);
    }

    /** Resumes the stream of another relay after the event that the token identifies. */
    void resumeFrom(ResumeToken token, boolean isOtherRegion) {
        mIsResumedByToken = true;
        mMayHaveRun = true;
        mHasDelivered = true;
        mSkipThroughEvent = token.number();
        mAttempt = EngineAttempt.resumed(token, isOtherRegion);
        mAttemptCount = 1;
        mOpenRequest.setEndpoint(token.endpoint());
    }

    /**
     * Waits for the next event of the caller's stream.
     *
     * @return empty when none arrived before the timeout
     * @throws CallerException when the response cannot be completed
     */
    Optional<RelayEvent> next(Duration timeout) {
        long untilNanos = mContext.clock().nanoTime() + timeout.toNanos();
        while (true) {
            long remainingNanos = untilNanos - mContext.clock().nanoTime();
            if (remainingNanos <= 0) {
                return Optional.empty();
            }
            try {
                checkDeadline();
                Optional<RelayEvent> event = step(Duration.ofNanos(remainingNanos));
                if (event.isPresent()) {
                    return event;
                }
            } catch (SesamedeckException failure) {
                onFailure(failure);
            }
            if (mIsDone) {
                return Optional.of(endEvent());
            }
        }
    }

    /** Returns whether the engine's next event is already buffered. */
    boolean hasBufferedEvent() {
        return mAttempt != null && mAttempt.hasResponse() && mAttempt.reader().isReady();
    }

    /** Returns the response collected so far. */
    ResponseAccumulator response() {
        return mResponse;
    }

    private Optional<RelayEvent> step(Duration remaining) {
        if (mAttempt == null && !chooseEngine()) {
            RetryBackoff.await();
            return Optional.empty();
        }
        if (!mAttempt.isConnected()) {
            connect();
        }
        long startNanos = mContext.clock().nanoTime();
        if (!mAttempt.hasResponse()) {
            Optional<EndpointResponse> response = mAttempt.awaitResponse(remaining);
            if (response.isEmpty()) {
                checkEventTimeout(startNanos);
                return Optional.empty();
            }
            onResponse(response.get());
            return Optional.empty();
        }
        Optional<StreamEvent> event = mAttempt.reader().next(remaining);
        if (event.isEmpty()) {
            checkEventTimeout(startNanos);
            return Optional.empty();
        }
        return onEvent(event.get());
    }

    private void checkDeadline() {
        if (mHasDelivered || mContext.clock().nanoTime() < mDeadlineNanos) {
            return;
        }
        throw mMayHaveRun || mAttempt != null && mAttempt.isConnected()
                ? CallerException.of(
                        ResultCode.OUTCOME_UNKNOWN, "the engine did not answer in time")
                : CallerException.of(
                        ResultCode.DEADLINE_EXCEEDED, "no engine took the request in time");
    }

    private void checkEventTimeout(long startNanos) {
        long idleNanos = mAttempt.addIdleTime(mContext.clock().nanoTime() - startNanos);
        Duration limit = mAttempt.lastNumber() == 0 ? FIRST_EVENT_TIMEOUT : NEXT_EVENT_TIMEOUT;
        if (idleNanos > limit.toNanos()) {
            throw SesamedeckException.of(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the engine was silent for " + limit.toSeconds() + " s");
        }
    }

    private boolean chooseEngine() {
        Optional<Assignment> assignment = mContext.router().choose(mProfile, mExcluded);
        long nowNanos = mContext.clock().nanoTime();
        if (assignment.isEmpty()) {
            if (!mHasDelivered && !mMayHaveRun) {
                throw finalFailure("no engine can take the request now");
            }
            if (mNoEngineSinceNanos == 0) {
                mNoEngineSinceNanos = nowNanos;
            }
            if (nowNanos - mNoEngineSinceNanos > NO_ENGINE_TIMEOUT.toNanos()) {
                throw finalFailure("no other engine can take the request over");
            }
            // An engine that failed earlier may be the only one and may have recovered.
            mExcluded.clear();
            return false;
        }
        mNoEngineSinceNanos = 0;
        mAttemptCount++;
        EndpointDescription endpoint = assignment.get().endpoint();
        mAttempt =
                new EngineAttempt(
                        endpoint.name(),
                        endpoint.address(),
                        mOpenRequest.streamId(mAttemptCount),
                        mAttemptCount,
                        !endpoint.region().equals(mContext.region()),
                        !mResponse.text().isEmpty(),
                        assignment);
        mOpenRequest.setEndpoint(endpoint.name());
        return true;
    }

    private void connect() {
        boolean isResume = mAttempt.mayHaveStream();
        EndpointRequest request =
                isResume
                        ? mEngineRequests.resume(mAttempt)
                        : mEngineRequests.start(mAttempt, mResponse.text(), mHasDelivered);
        if (mAttempt.isOtherRegion()) {
            mContext.metrics().otherRegionBytes(request.body().map(body -> body.length).orElse(0));
        }
        mAttempt.connect(mContext.endpointClient().send(request), isResume);
    }

    private void onResponse(EndpointResponse response) {
        response.header(LoadHeader.NAME)
                .flatMap(text -> LoadHeader.parse(text, mContext.clock().nanoTime()))
                .ifPresent(load -> mContext.router().reportLoad(mAttempt.endpoint(), load));
        if (response.status() == OK) {
            if (mAttempt.isResume()) {
                mContext.metrics().streamResumed();
            }
            mAttempt.startReading();
            return;
        }
        if (mAttempt.isResume()) {
            if (response.status() == NOT_FOUND || response.status() == GONE) {
                failOver(Optional.empty(), "the engine has lost the stream");
                return;
            }
            throw SesamedeckException.of(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the engine refused to resume with status " + response.status());
        }
        boolean isRejection = response.isConfirmedNotExecuted();
        if (response.header("X-Draining").filter("true"::equals).isPresent()) {
            mContext.router().markLeaving(mAttempt.endpoint());
        }
        if (!isRejection
                && response.status() < SERVER_ERROR
                && response.status() != NOT_FOUND
                && response.status() != REQUEST_TIMEOUT
                && response.status() != TOO_MANY_REQUESTS) {
            throw CallerException.of(
                    ResultCode.BAD_REQUEST,
                    Execution.UNKNOWN,
                    "the engine says: "
                            + Chunks.errorMessage(mAttempt.exchange().read(ERROR_BODY_TIMEOUT)));
        }
        mWasRejected |= isRejection;
        mMayHaveRun |= !isRejection;
        mRetryAfter = response.retryAfter();
        failOver(response.retryAfter(), "the engine answered with status " + response.status());
    }

    private Optional<RelayEvent> onEvent(StreamEvent event) {
        long number = event.number().orElse(mAttempt.lastNumber() + 1);
        if (number <= mAttempt.lastNumber()) {
            return Optional.empty();
        }
        if (number > mAttempt.lastNumber() + 1) {
            throw SesamedeckException.of(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the engine skipped from event " + mAttempt.lastNumber() + " to " + number);
        }
        if (event.isDone()) {
            mAttempt.advanceTo(number);
            succeed();
            return Optional.of(endEvent());
        }
        ObjectNode chunk = Chunks.parse(event.data());
        if (chunk.has("error")) {
            mMayHaveRun = true;
            failOver(Optional.empty(), "the engine ended the stream with an error");
            return Optional.empty();
        }
        if (number == 1) {
            mAttempt.assignment().ifPresent(Assignment::firstToken);
        }
        mPromptGuard.received(number);
        mAttempt.advanceTo(number);
        boolean isRoleOnly = mAttempt.isContinuation() && Chunks.isRoleOnly(chunk);
        mResponse.add(chunk);
        if (mAttempt.isOtherRegion()) {
            mContext.metrics().otherRegionBytes(event.data().length());
        }
        if (number <= mSkipThroughEvent || isRoleOnly) {
            return Optional.empty();
        }
        mHasDelivered = true;
        String data = mAttempt.isContinuation() ? Chunks.withIdOf(mResponse, chunk) : event.data();
        return Optional.of(new RelayEvent(token(number), data, false));
    }

    private RelayEvent endEvent() {
        return new RelayEvent(token(mAttempt.lastNumber()), StreamEvent.DONE, true);
    }

    private String token(long number) {
        return mContext.resumeTokens().encode(mAttempt.token(number), mProfile.clientAccount());
    }

    private void succeed() {
        mIsDone = true;
        mPromptGuard.answered();
        mAttempt.assignment()
                .ifPresent(
                        assignment -> {
                            assignment.succeeded(
                                    mResponse.promptTokens(), mResponse.outputTokens());
                            assignment.close();
                        });
        mAttempt.disconnect();
    }

    private void onFailure(SesamedeckException failure) {
        boolean wasSent = failure.code() != ResultCode.UNAVAILABLE;
        mAttempt.disconnect();
        if (!wasSent && !mAttempt.mayHaveStream()) {
            failOver(Optional.empty(), failure.getMessage());
            return;
        }
        mMayHaveRun = true;
        mAttempt.setMayHaveStream();
        if (mAttempt.addFailure() >= MAX_ENGINE_FAILURES) {
            failOver(Optional.empty(), failure.getMessage());
            return;
        }
        RetryBackoff.await();
    }

    /** Ends the attempt; the next step tries another engine unless the policy forbids it. */
    private void failOver(Optional<Duration> retryAfter, String reason) {
        EngineAttempt failed = mAttempt;
        LOGGER.log(
                System.Logger.Level.INFO,
                "request {0}: attempt on engine {1} ended after event {2}: {3}",
                mOpenRequest.id(),
                failed.endpoint(),
                failed.lastNumber(),
                reason);
        failed.disconnect();
        failed.assignment()
                .ifPresent(
                        assignment -> {
                            assignment.failed(retryAfter);
                            assignment.close();
                        });
        if (failed.mayHaveStream()) {
            cancelStream(failed);
        }
        if (failed.mayHaveStream() && !mIsResumedByToken) {
            mPromptGuard.interrupted(failed.endpoint());
        }
        mExcluded.add(failed.endpoint());
        if (mResponse.isFinished(mRequest.choiceCount())) {
            // The response is complete; only the end marker is missing.
            mIsDone = true;
            return;
        }
        mAttempt = null;
        // The token of a continued stream does not contain the text before the continuation.
        boolean isTextKnown = !failed.isContinuation() || !mIsResumedByToken;
        boolean canContinue =
                isTextKnown
                        && failed.lastNumber() >= mSkipThroughEvent
                        && mResponse.isPlainText()
                        && mRequest.choiceCount() == 1;
        Optional<ResultCode> failure =
                RecoveryPolicy.failureCode(state(canContinue, mContext.retryBudget().tryRetry()));
        if (failure.isPresent()) {
            throw CallerException.retryAfter(failure.get(), reason, mRetryAfter);
        }
        mSkipThroughEvent = 0;
        mIsResumedByToken = false;
        if (mHasDelivered) {
            mContext.metrics().streamContinued();
        }
    }

    private RecoveryPolicy.RequestState state(boolean canContinue, boolean hasRetry) {
        return new RecoveryPolicy.RequestState(
                mMayRepeat,
                mMayHaveRun,
                mWasRejected,
                mHasDelivered,
                canContinue,
                mAttemptCount < MAX_ATTEMPTS && mPromptGuard.mayRepeat(),
                hasRetry);
    }

    private CallerException finalFailure(String reason) {
        return CallerException.retryAfter(
                RecoveryPolicy.finalFailureCode(state(false, false)), reason, mRetryAfter);
    }

    private void cancelStream(EngineAttempt attempt) {
        mContext.endpointClient().sendAndDiscard(EngineRequests.cancel(attempt));
    }

    /** Ends the relay; an incomplete response is cancelled at the engine. */
    void close() {
        if (mIsClosed || mIsDone || mAttempt == null) {
            return;
        }
        mIsClosed = true;
        EngineAttempt attempt = mAttempt;
        boolean mayRun = attempt.isConnected() || attempt.mayHaveStream();
        attempt.disconnect();
        attempt.assignment()
                .ifPresent(
                        assignment -> {
                            assignment.cancelled();
                            assignment.close();
                        });
        if (mayRun) {
            cancelStream(attempt);
        }
    }
}
