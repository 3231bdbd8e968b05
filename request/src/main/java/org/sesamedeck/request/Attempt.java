package org.sesamedeck.request;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.RequestPhase;

/**
 * One call of a request to one endpoint. It collects what the endpoint answers and tells the run
 * once how the call ended; what arrives afterwards is ignored.
 */
final class Attempt implements CallListener {
    /** An answer that is no stream is held whole, so that a part of it is never relayed. */
    private static final int MAX_WHOLE_BYTES = 16 << 20;

    /** An engine that refuses work is full, changes its role or leaves: seconds, not moments. */
    private static final Duration ENGINE_PAUSE = Duration.ofMillis(400);

    /** Nothing listens at the address, or nothing answers there. */
    private static final Duration UNREACHABLE_PAUSE = Duration.ofMillis(500);

    /** A full server of a plain service has room again after one request. */
    private static final Duration SERVER_PAUSE = Duration.ofMillis(40);

    /** Events whose pace is told together. */
    private static final int PACE_EVENTS = 4;

    private final RequestRun mRun;
    private final Assignment mAssignment;
    private final RequestPhase mPhase;
    private final boolean mExpectsStream;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final EventStreamParser mEvents = new EventStreamParser();
    private Optional<EndpointCall> mCall = Optional.empty();
    private Optional<AnswerHead> mHead = Optional.empty();
    private final long mSentNanos;
    private boolean mIsOver;
    private boolean mHasEvents;
    private long mPaceSinceNanos;
    private int mPaceEvents;

    Attempt(
            RequestRun run,
            Assignment assignment,
            RequestPhase phase,
            boolean expectsStream,
            long sentNanos) {
        mSentNanos = sentNanos;
        mRun = run;
        mAssignment = assignment;
        mPhase = phase;
        mExpectsStream = expectsStream;
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

    /** Returns when the call was made, in nanoseconds of monotonic time. */
    long sentNanos() {
        return mSentNanos;
    }

    /** Takes the call, which may have ended already while it was made. */
    void attach(EndpointCall call) {
        mCall = Optional.of(call);
    }

    /**
     * Ends the call early.
     *
     * @return whether the request certainly has not run at the endpoint
     */
    boolean cancel() {
        if (mIsOver) {
            return false;
        }
        mIsOver = true;
        boolean isUnsent = mCall.map(EndpointCall::cancel).orElse(true);
        mAssignment.close();
        return isUnsent || mPhase == RequestPhase.PREFILL;
    }

    @Override
    public void notSent(String cause) {
        if (!mIsOver) {
            end();
            mAssignment.failed(Optional.of(UNREACHABLE_PAUSE));
            mAssignment.close();
            mRun.unsuccessful(this, AttemptOutcome.NOT_SENT, cause);
        }
    }

    @Override
    public void answered(AnswerHead head) {
        if (mIsOver) {
            return;
        }
        mHead = Optional.of(head);
        head.load().ifPresent(load -> mRun.reportLoad(endpoint().name(), load));
    }

    @Override
    public void body(byte[] bytes) {
        if (mIsOver) {
            return;
        }
        if (isStream()) {
            readEvents(bytes);
        } else if (mBody.size() + bytes.length > MAX_WHOLE_BYTES) {
            lose("answer is larger than " + MAX_WHOLE_BYTES + " bytes");
        } else {
            mBody.writeBytes(bytes);
        }
    }

    private void readEvents(byte[] bytes) {
        List<EventStreamParser.Event> events;
        try {
            events = mEvents.feed(bytes);
        } catch (IllegalArgumentException tooLarge) {
            lose(tooLarge.getMessage());
            return;
        }
        if (!events.isEmpty()) {
            if (!mHasEvents) {
                mHasEvents = true;
                mAssignment.firstToken();
            }
            measurePace(events.size());
            mRun.events(this, mHead.orElseThrow(), events);
        }
    }

    /**
     * The pace is told while the answer runs, since an engine that slows down must be seen soon.
     */
    private void measurePace(int events) {
        long now = mRun.now();
        if (mPaceSinceNanos == 0) {
            mPaceSinceNanos = now;
            return;
        }
        mPaceEvents += events;
        if (mPaceEvents >= PACE_EVENTS) {
            mAssignment.progressed(mPaceEvents, now - mPaceSinceNanos);
            mPaceEvents = 0;
            mPaceSinceNanos = now;
        }
    }

    @Override
    public void ended() {
        if (mIsOver) {
            return;
        }
        AnswerHead head = mHead.orElseThrow();
        if (head.notRun()) {
            rejected(head);
        } else if (!head.genuine() && mPhase != RequestPhase.PREFILL) {
            lose("answer with status " + head.status() + " bears no signature");
        } else if (!head.isSuccess()) {
            failureAnswered(head);
        } else if (mEvents.hasPartialEvent()) {
            lose("stream ends within an event");
        } else {
            succeeded(head);
        }
    }

    private void rejected(AnswerHead head) {
        end();
        mAssignment.failed(Optional.of(endpoint().isEngine() ? ENGINE_PAUSE : SERVER_PAUSE));
        mAssignment.close();
        mRun.unsuccessful(this, AttemptOutcome.REJECTED, "status " + head.status());
    }

    private void failureAnswered(AnswerHead head) {
        end();
        if (head.status() >= 500) {
            mAssignment.failed(Optional.empty());
        } else {
            mAssignment.succeeded(0, 0);
        }
        mAssignment.close();
        mRun.failureAnswered(this, head, mBody.toByteArray());
    }

    private void succeeded(AnswerHead head) {
        end();
        if (!mHasEvents) {
            mAssignment.firstToken();
        }
        mAssignment.succeeded(0, 0);
        mAssignment.close();
        if (mPhase == RequestPhase.PREFILL) {
            mRun.promptProcessed(this, head, mBody.toByteArray());
        } else if (isStream()) {
            mRun.streamEnded(this, head);
        } else {
            mRun.wholeAnswer(this, head, mBody.toByteArray());
        }
    }

    @Override
    public void broken(String cause) {
        if (!mIsOver) {
            lose(cause);
        }
    }

    /** Ends the call as lost; the endpoint is told to stop if it still works. */
    void lose(String cause) {
        end();
        mCall.ifPresent(EndpointCall::cancel);
        mAssignment.failed(Optional.empty());
        mAssignment.close();
        mRun.unsuccessful(this, AttemptOutcome.LOST, cause);
    }

    private void end() {
        mIsOver = true;
    }

    private boolean isStream() {
        return mExpectsStream && mHead.map(AnswerHead::isSuccess).orElse(false);
    }
}
