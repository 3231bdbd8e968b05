package org.sesamedeck.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.RequestPhase;

/**
 * One call of a request to one endpoint. It receives the endpoint's response and reports the
 * outcome of the call to the request once, or not at all if the request cancels the call first;
 * later events of the call are ignored.
 */
final class Attempt implements CallListener {
    /** An engine that rejects work is full, changing its role or leaving, which takes seconds. */
    private static final Duration ENGINE_REJECTION_BACKOFF = Duration.ofMillis(400);

    /** Applies when connections to the endpoint are refused or time out. */
    private static final Duration UNREACHABLE_BACKOFF = Duration.ofMillis(500);

    /** A full server of a plain service has capacity again as soon as one request completes. */
    private static final Duration SERVER_REJECTION_BACKOFF = Duration.ofMillis(40);

    /**
     * An endpoint that crashes under a prompt does so well within this time of its first event;
     * until then, a crash counts against the prompt.
     */
    private static final Duration LONG_ANSWER_TIME = Duration.ofSeconds(1);

    /** Number of events in each token interval sample. */
    private static final int TOKEN_INTERVAL_SAMPLE_EVENTS = 4;

    private final RequestHandler mHandler;
    private final RequestLifecycle mLifecycle;
    private final Assignment mAssignment;
    private final RequestPhase mPhase;
    private final boolean mExpectsStream;
    private final PromptPartGuard mPromptParts;
    private final RequestUsage mUsage;
    private final EndpointSignRecorder mSigns;
    private final ByteBlocks mBody = ByteBlocks.create(0);
    private final EventStreamParser mEvents = new EventStreamParser();
    private Optional<EndpointCall> mCall = Optional.empty();
    private Optional<ResponseHead> mHead = Optional.empty();
    private final long mSentNanos;
    private boolean mIsOver;
    private boolean mHasEvents;
    private boolean mIsAnswerReported;
    private long mFirstEventNanos;
    private long mSampleStartNanos;
    private int mSampleEvents;

    Attempt(
            RequestHandler handler,
            RequestLifecycle lifecycle,
            Assignment assignment,
            RequestPhase phase,
            boolean expectsStream,
            PromptPartGuard promptParts,
            RequestUsage usage,
            EndpointSignRecorder signs) {
        mHandler = handler;
        mLifecycle = lifecycle;
        mAssignment = assignment;
        mPhase = phase;
        mExpectsStream = expectsStream;
        mPromptParts = promptParts;
        mUsage = usage;
        mSigns = signs;
        mSentNanos = now();
    }

    EndpointDescription endpoint() {
        return mAssignment.endpoint();
    }

    Assignment assignment() {
        return mAssignment;
    }

    RequestPhase phase() {
        return mPhase;
    }

    /** Returns whether the endpoint has sent part of an answer. */
    boolean hasEvents() {
        return mHasEvents;
    }

    /** Returns when the call was started, in nanoseconds of monotonic time. */
    long sentNanos() {
        return mSentNanos;
    }

    /** Sets the call, which may already have ended by the time the transport returns it. */
    void attach(EndpointCall call) {
        mCall = Optional.of(call);
    }

    /**
     * Cancels the call.
     *
     * @return whether the request certainly has not run at the endpoint; a prefill call is not a
     *     run
     */
    boolean cancel() {
        if (mIsOver) {
            return false;
        }
        end();
        boolean isUnsent = mCall.map(EndpointCall::cancel).orElse(true);
        mAssignment.close();
        return isUnsent || mPhase == RequestPhase.PREFILL;
    }

    @Override
    public boolean maySend() {
        return mHandler.router().accepts(endpoint());
    }

    @Override
    public void notSent(String cause) {
        if (!mIsOver) {
            end();
            if (maySend()) {
                mAssignment.failed(Optional.of(UNREACHABLE_BACKOFF));
            }
            mAssignment.close();
            mLifecycle.attemptFailed(this, AttemptOutcome.NOT_SENT, cause);
        }
    }

    @Override
    public void headReceived(ResponseHead head) {
        if (mIsOver) {
            return;
        }
        mHead = Optional.of(head);
        mAssignment.responded();
        mPromptParts.responded(endpoint().name(), mSentNanos);
        if (!head.notRun()) {
            plainRequestBegan();
        }
        mHandler.pressure(endpoint().service()).record(head.isRejectedForLoad());
        mSigns.received(endpoint(), head);
    }

    @Override
    public void body(byte[] bytes) {
        if (mIsOver) {
            return;
        }
        if (isStream()) {
            readEvents(bytes);
        } else if (mHandler.responseMemory()
                .tryReserve(mBody.capacity(), mBody.growth(bytes.length))) {
            mBody.add(bytes, 0, bytes.length);
        } else {
            endAsLost("no memory for more than " + mBody.size() + " bytes of the response");
        }
    }

    private void readEvents(byte[] bytes) {
        List<EventStreamParser.Event> events;
        try {
            events = mEvents.feed(bytes);
        } catch (IllegalArgumentException tooLarge) {
            endAsLost(tooLarge.getMessage());
            return;
        }
        mPromptParts.responded(endpoint().name(), mSentNanos);
        if (!events.isEmpty()) {
            if (!mHasEvents) {
                mHasEvents = true;
                mFirstEventNanos = now();
                mAssignment.firstToken();
                mUsage.began();
            }
            reportLongAnswer();
            measureTokenInterval(events.size());
            mLifecycle.events(this, mHead.orElseThrow(), events);
        }
    }

    /** An answer that goes on for long proves the parts of its prompt before it ends. */
    private void reportLongAnswer() {
        if (!mIsAnswerReported && now() - mFirstEventNanos >= LONG_ANSWER_TIME.toNanos()) {
            mIsAnswerReported = true;
            mPromptParts.answered(mFirstEventNanos);
        }
    }

    private long now() {
        return mHandler.clock().nanoTime();
    }

    /** Reports token intervals during the response, so that a slowing engine is detected early. */
    private void measureTokenInterval(int events) {
        long now = now();
        if (mSampleStartNanos == 0) {
            mSampleStartNanos = now;
            return;
        }
        mSampleEvents += events;
        if (mSampleEvents >= TOKEN_INTERVAL_SAMPLE_EVENTS) {
            mAssignment.progressed(mSampleEvents, now - mSampleStartNanos);
            mSampleEvents = 0;
            mSampleStartNanos = now;
        }
    }

    @Override
    public void ended() {
        if (mIsOver) {
            return;
        }
        ResponseHead head = mHead.orElseThrow();
        if (head.notRun()) {
            rejected(head);
        } else if (!head.signed() && mPhase != RequestPhase.PREFILL) {
            endAsLost("answer with status " + head.status() + " bears no signature");
        } else if (!head.isSuccess()) {
            failureReceived(head);
        } else if (mEvents.hasPartialEvent()) {
            brokenOff(head, "stream ends within an event");
        } else if (isStream() && !mHasEvents && head.endsWithConnection()) {
            connectionLost("stream ends without an event");
        } else {
            succeeded(head);
        }
    }

    /** Ends a stream that is not complete; only the end of a connection may be a crash. */
    private void brokenOff(ResponseHead head, String cause) {
        if (head.endsWithConnection()) {
            connectionLost(cause);
        } else {
            endAsLost(cause);
        }
    }

    private void rejected(ResponseHead head) {
        end();
        mAssignment.failed(
                Optional.of(
                        endpoint().isEngine()
                                ? ENGINE_REJECTION_BACKOFF
                                : SERVER_REJECTION_BACKOFF));
        mAssignment.close();
        mLifecycle.attemptFailed(this, AttemptOutcome.REJECTED, "status " + head.status());
    }

    private void failureReceived(ResponseHead head) {
        end();
        if (head.status() >= 500) {
            mAssignment.failed(Optional.empty());
        } else {
            mAssignment.succeeded(0, 0);
        }
        mAssignment.close();
        mLifecycle.failureReceived(this, head, mBody.toByteArray());
    }

    private void succeeded(ResponseHead head) {
        end();
        if (!mHasEvents) {
            mAssignment.firstToken();
        }
        mAssignment.succeeded(0, 0);
        mAssignment.close();
        if (mPhase == RequestPhase.PREFILL) {
            mLifecycle.promptProcessed(this, head, mBody.toByteArray());
            return;
        }
        mPromptParts.answered(mHasEvents ? mFirstEventNanos : now());
        if (isStream()) {
            mLifecycle.streamEnded(this, head);
        } else {
            mLifecycle.fullResponse(this, head, mBody.toByteArray());
        }
    }

    @Override
    public void broken(String cause) {
        if (!mIsOver) {
            mAssignment.lost();
            endAsLost(cause);
        }
    }

    @Override
    public void connectionLost(String cause) {
        if (mIsOver) {
            return;
        }
        if (!mIsAnswerReported) {
            mPromptParts.interrupted(endpoint().name(), mHasEvents);
        }
        mAssignment.lost();
        endAsLost(cause);
    }

    /** Ends the call as lost and cancels it, in case the endpoint is still processing it. */
    void endAsLost(String cause) {
        end();
        plainRequestBegan();
        mCall.ifPresent(EndpointCall::cancel);
        mAssignment.failed(Optional.empty());
        mAssignment.close();
        mLifecycle.attemptFailed(this, AttemptOutcome.LOST, cause);
    }

    /**
     * Counts a request without a stream, whose begin nothing shows. One whose answer is lost has
     * most likely run; a stream has begun when its first event arrives.
     */
    private void plainRequestBegan() {
        if (!mExpectsStream && mPhase != RequestPhase.PREFILL) {
            mUsage.began();
        }
    }

    /** Ends the call; the memory of its body counts no longer, since it is passed on at once. */
    private void end() {
        mIsOver = true;
        mHandler.responseMemory().release(mBody.capacity());
    }

    private boolean isStream() {
        return mExpectsStream && mHead.map(ResponseHead::isSuccess).orElse(false);
    }
}
