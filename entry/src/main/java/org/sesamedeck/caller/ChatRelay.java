package org.sesamedeck.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Execution;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.endpoint.EndpointAnswer;
import org.sesamedeck.endpoint.EndpointRequest;
import org.sesamedeck.endpoint.LoadHeader;
import org.sesamedeck.endpoint.StreamEvent;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.RequestProfile;

/**
 * Turns the streams of one or more engines into one whole stream for one caller. After a failure it
 * asks the same engine for the rest of its stream; {@link RecoveryPolicy} decides what happens once
 * that engine is given up. Each attempt has its own stream identifier, so an engine that is chosen
 * again does not return the old stream. Used by one thread.
 */
final class ChatRelay {
    private static final System.Logger LOGGER = System.getLogger(ChatRelay.class.getName());
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int TIMEOUT = 408;
    private static final int GONE = 410;
    private static final int TOO_MANY = 429;
    private static final int SERVER_ERROR = 500;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_ENGINE_FAILURES = 3;
    private static final Duration BACKOFF = Duration.ofMillis(50);
    private static final Duration ERROR_BODY_TIMEOUT = Duration.ofMillis(500);

    /** How long an interrupted answer waits for an engine that can continue it. */
    private static final Duration NO_ENGINE_LIMIT = Duration.ofSeconds(10);

    /** An engine may queue a request and read a long prompt before it sends anything. */
    private static final Duration FIRST_EVENT_LIMIT = Duration.ofSeconds(20);

    private static final Duration NEXT_EVENT_LIMIT = Duration.ofSeconds(5);

    private final RelayParts mParts;
    private final CallerRequest mCurrent;
    private final ChatRequest mRequest;
    private final RequestProfile mProfile;
    private final boolean mMayRepeat;
    private final long mDeadlineNanos;
    private final EngineRequests mEngineRequests;
    private final AnswerCollector mAnswer = AnswerCollector.create();
    private final Set<String> mExcluded = new HashSet<>();
    private EngineAttempt mAttempt;
    private int mAttempts;
    private long mSkipThrough;
    private long mNoEngineSinceNanos;
    private Optional<Duration> mRetryAfter = Optional.empty();
    private boolean mIsResumedByToken;
    private boolean mHasDelivered;
    private boolean mIsInDoubt;
    private boolean mWasRefused;
    private boolean mIsClosed;
    private boolean mIsDone;

    private ChatRelay(
            RelayParts parts,
            CallerRequest current,
            ChatRequest request,
            RequestProfile profile,
            boolean mayRepeat,
            long deadlineNanos) {
        mParts = parts;
        mCurrent = current;
        mRequest = request;
        mProfile = profile;
        mMayRepeat = mayRepeat;
        mDeadlineNanos = deadlineNanos;
        mEngineRequests =
                new EngineRequests(parts.clock(), request, profile.priority(), deadlineNanos);
    }

    /**
     * Returns a relay of a request that was admitted.
     *
     * @param mayRepeat whether the request may run more than once
     * @param deadlineNanos monotonic time by which the first event must have arrived
     */
    static ChatRelay of(
            RelayParts parts,
            CallerRequest current,
            ChatRequest request,
            RequestProfile profile,
            boolean mayRepeat,
            long deadlineNanos) {
        return new ChatRelay(parts, current, request, profile, mayRepeat, deadlineNanos);
    }

    /** Makes this relay go on where a token says that another one stopped. */
    void resumeFrom(ResumeToken token, boolean isOtherRegion) {
        mIsResumedByToken = true;
        mIsInDoubt = true;
        mHasDelivered = true;
        mSkipThrough = token.number();
        mAttempt = EngineAttempt.resumed(token, isOtherRegion);
        mAttempts = 1;
        mCurrent.setEndpoint(token.endpoint());
    }

    /**
     * Waits for the next event of the caller's stream.
     *
     * @return empty when none arrived within the time
     * @throws CallerException when the answer cannot be completed
     */
    Optional<RelayEvent> next(Duration timeout) {
        long untilNanos = mParts.clock().nanoTime() + timeout.toNanos();
        while (true) {
            long leftNanos = untilNanos - mParts.clock().nanoTime();
            if (leftNanos <= 0) {
                return Optional.empty();
            }
            try {
                checkDeadline();
                Optional<RelayEvent> event = step(Duration.ofNanos(leftNanos));
                if (event.isPresent()) {
                    return event;
                }
            } catch (SesamedeckException failure) {
                onFailure(failure);
            }
            if (mIsDone) {
                return Optional.of(lastEvent());
            }
        }
    }

    /** Returns whether the engine's next event has already been received. */
    boolean hasReceived() {
        return mAttempt != null && mAttempt.hasAnswer() && mAttempt.reader().isReady();
    }

    /** Returns the answer collected so far. */
    AnswerCollector answer() {
        return mAnswer;
    }

    private Optional<RelayEvent> step(Duration left) {
        if (mAttempt == null && !chooseEngine()) {
            pause();
            return Optional.empty();
        }
        if (!mAttempt.isConnected()) {
            connect();
        }
        long startNanos = mParts.clock().nanoTime();
        if (!mAttempt.hasAnswer()) {
            Optional<EndpointAnswer> answer = mAttempt.awaitAnswer(left);
            if (answer.isEmpty()) {
                onSilence(startNanos);
                return Optional.empty();
            }
            accept(answer.get());
            return Optional.empty();
        }
        Optional<StreamEvent> event = mAttempt.reader().next(left);
        if (event.isEmpty()) {
            onSilence(startNanos);
            return Optional.empty();
        }
        return accept(event.get());
    }

    private void checkDeadline() {
        if (mHasDelivered || mParts.clock().nanoTime() < mDeadlineNanos) {
            return;
        }
        throw mIsInDoubt || mAttempt != null && mAttempt.isConnected()
                ? CallerException.of(
                        ResultCode.OUTCOME_UNKNOWN, "the engine did not answer in time")
                : CallerException.of(
                        ResultCode.DEADLINE_EXCEEDED, "no engine took the request in time");
    }

    private void onSilence(long startNanos) {
        long waited = mAttempt.addWaited(mParts.clock().nanoTime() - startNanos);
        Duration limit = mAttempt.lastNumber() == 0 ? FIRST_EVENT_LIMIT : NEXT_EVENT_LIMIT;
        if (waited > limit.toNanos()) {
            throw SesamedeckException.of(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the engine was silent for " + limit.toSeconds() + " s");
        }
    }

    private boolean chooseEngine() {
        Optional<Assignment> assignment = mParts.router().choose(mProfile, mExcluded);
        long nowNanos = mParts.clock().nanoTime();
        if (assignment.isEmpty()) {
            if (!mHasDelivered && !mIsInDoubt) {
                throw finalFailure("no engine can take the request now");
            }
            if (mNoEngineSinceNanos == 0) {
                mNoEngineSinceNanos = nowNanos;
            }
            if (nowNanos - mNoEngineSinceNanos > NO_ENGINE_LIMIT.toNanos()) {
                throw finalFailure("no other engine can take the request over");
            }
            // An engine that failed before may be the only one, and may be back.
            mExcluded.clear();
            return false;
        }
        mNoEngineSinceNanos = 0;
        mAttempts++;
        EndpointDescription endpoint = assignment.get().endpoint();
        mAttempt =
                new EngineAttempt(
                        endpoint.name(),
                        endpoint.address(),
                        mCurrent.streamId(mAttempts),
                        mAttempts,
                        !endpoint.region().equals(mParts.region()),
                        !mAnswer.text().isEmpty(),
                        assignment);
        mCurrent.setEndpoint(endpoint.name());
        return true;
    }

    private void connect() {
        boolean isResume = mAttempt.isOpened();
        EndpointRequest request =
                isResume
                        ? mEngineRequests.resume(mAttempt)
                        : mEngineRequests.start(mAttempt, mAnswer.text(), mHasDelivered);
        if (mAttempt.isOtherRegion()) {
            mParts.metrics().otherRegionBytes(request.body().map(body -> body.length).orElse(0));
        }
        mAttempt.connect(mParts.client().send(request), isResume);
    }

    private void accept(EndpointAnswer answer) {
        answer.header(LoadHeader.NAME)
                .flatMap(text -> LoadHeader.parse(text, mParts.clock().nanoTime()))
                .ifPresent(load -> mParts.router().reportLoad(mAttempt.endpoint(), load));
        if (answer.status() == OK) {
            if (mAttempt.isResume()) {
                mParts.metrics().streamResumed();
            }
            mAttempt.startReading();
            return;
        }
        if (mAttempt.isResume()) {
            if (answer.status() == NOT_FOUND || answer.status() == GONE) {
                leaveEngine(Optional.empty(), "the engine has lost the stream");
                return;
            }
            throw SesamedeckException.of(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the engine refused to resume with status " + answer.status());
        }
        boolean isRefusal = answer.isConfirmedNotExecuted();
        if (answer.header("X-Draining").filter("true"::equals).isPresent()) {
            mParts.router().markLeaving(mAttempt.endpoint());
        }
        if (!isRefusal
                && answer.status() < SERVER_ERROR
                && answer.status() != NOT_FOUND
                && answer.status() != TIMEOUT
                && answer.status() != TOO_MANY) {
            throw CallerException.of(
                    ResultCode.BAD_REQUEST,
                    Execution.UNKNOWN,
                    "the engine says: "
                            + Chunks.errorMessage(mAttempt.exchange().read(ERROR_BODY_TIMEOUT)));
        }
        mWasRefused |= isRefusal;
        mIsInDoubt |= !isRefusal;
        mRetryAfter = answer.retryAfter();
        leaveEngine(answer.retryAfter(), "the engine answered with status " + answer.status());
    }

    private Optional<RelayEvent> accept(StreamEvent event) {
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
            return Optional.of(lastEvent());
        }
        ObjectNode chunk = Chunks.parse(event.data());
        if (chunk.has("error")) {
            mIsInDoubt = true;
            leaveEngine(Optional.empty(), "the engine ended the stream with an error");
            return Optional.empty();
        }
        if (number == 1) {
            mAttempt.assignment().ifPresent(Assignment::firstToken);
        }
        mAttempt.advanceTo(number);
        boolean isRoleOnly = mAttempt.isContinuation() && Chunks.isRoleOnly(chunk);
        mAnswer.add(chunk);
        if (mAttempt.isOtherRegion()) {
            mParts.metrics().otherRegionBytes(event.data().length());
        }
        if (number <= mSkipThrough || isRoleOnly) {
            return Optional.empty();
        }
        mHasDelivered = true;
        String data = mAttempt.isContinuation() ? Chunks.asPartOf(mAnswer, chunk) : event.data();
        return Optional.of(new RelayEvent(token(number), data, false));
    }

    private RelayEvent lastEvent() {
        return new RelayEvent(token(mAttempt.lastNumber()), StreamEvent.DONE, true);
    }

    private String token(long number) {
        return mParts.tokens().encode(mAttempt.token(number), mProfile.clientAccount());
    }

    private void succeed() {
        mIsDone = true;
        mAttempt.assignment()
                .ifPresent(
                        assignment -> {
                            assignment.succeeded(mAnswer.promptTokens(), mAnswer.outputTokens());
                            assignment.close();
                        });
        mAttempt.disconnect();
    }

    private void onFailure(SesamedeckException failure) {
        boolean wasSent = failure.code() != ResultCode.UNAVAILABLE;
        mAttempt.disconnect();
        if (!wasSent && !mAttempt.isOpened()) {
            leaveEngine(Optional.empty(), failure.getMessage());
            return;
        }
        mIsInDoubt = true;
        mAttempt.setOpened();
        if (mAttempt.addFailure() >= MAX_ENGINE_FAILURES) {
            leaveEngine(Optional.empty(), failure.getMessage());
            return;
        }
        pause();
    }

    /** Gives an engine up; the next step chooses another one unless that is not allowed. */
    private void leaveEngine(Optional<Duration> retryAfter, String reason) {
        EngineAttempt left = mAttempt;
        LOGGER.log(
                System.Logger.Level.INFO,
                "request {0} leaves {1} after event {2}: {3}",
                mCurrent.id(),
                left.endpoint(),
                left.lastNumber(),
                reason);
        left.disconnect();
        left.assignment()
                .ifPresent(
                        assignment -> {
                            assignment.failed(retryAfter);
                            assignment.close();
                        });
        if (left.isOpened()) {
            cancelAt(left);
        }
        mExcluded.add(left.endpoint());
        if (mAnswer.isFinished(mRequest.choices())) {
            // Only the end marker is missing, so the answer is whole.
            mIsDone = true;
            return;
        }
        mAttempt = null;
        // A token of a continued stream says nothing about the text before the continuation.
        boolean isTextKnown = !left.isContinuation() || !mIsResumedByToken;
        boolean canContinue =
                isTextKnown
                        && left.lastNumber() >= mSkipThrough
                        && mAnswer.isPlainText()
                        && mRequest.choices() == 1;
        Optional<ResultCode> failure =
                RecoveryPolicy.failure(facts(canContinue, mParts.retries().tryRetry()));
        if (failure.isPresent()) {
            throw CallerException.retryAfter(failure.get(), reason, mRetryAfter);
        }
        mSkipThrough = 0;
        mIsResumedByToken = false;
        if (mHasDelivered) {
            mParts.metrics().streamContinued();
        }
    }

    private RecoveryPolicy.Facts facts(boolean canContinue, boolean hasRetry) {
        return new RecoveryPolicy.Facts(
                mMayRepeat,
                mIsInDoubt,
                mWasRefused,
                mHasDelivered,
                canContinue,
                mAttempts < MAX_ATTEMPTS,
                hasRetry);
    }

    private CallerException finalFailure(String reason) {
        return CallerException.retryAfter(
                RecoveryPolicy.last(facts(false, false)), reason, mRetryAfter);
    }

    private void cancelAt(EngineAttempt attempt) {
        mParts.client().notify(EngineRequests.cancel(attempt));
    }

    /** Ends the relay; an answer that is not whole is cancelled at the engine. */
    void close() {
        if (mIsClosed || mIsDone || mAttempt == null) {
            return;
        }
        mIsClosed = true;
        EngineAttempt attempt = mAttempt;
        boolean mayRun = attempt.isConnected() || attempt.isOpened();
        attempt.disconnect();
        attempt.assignment()
                .ifPresent(
                        assignment -> {
                            assignment.cancelled();
                            assignment.close();
                        });
        if (mayRun) {
            cancelAt(attempt);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(BACKOFF.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw CallerException.of(ResultCode.OUTCOME_UNKNOWN, "interrupted");
        }
    }
}
