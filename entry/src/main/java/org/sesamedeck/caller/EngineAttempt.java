package org.sesamedeck.caller;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.endpoint.EndpointExchange;
import org.sesamedeck.endpoint.EndpointResponse;
import org.sesamedeck.endpoint.EventReader;
import org.sesamedeck.routing.Assignment;

/** State of one attempt of a relay: the engine's stream and the connection that carries it. */
final class EngineAttempt {
    private final String mEndpoint;
    private final HostAddress mAddress;
    private final String mStreamId;
    private final int mAttemptNumber;
    private final boolean mIsOtherRegion;
    private final boolean mIsContinuation;
    private final Optional<Assignment> mAssignment;
    private EndpointExchange mExchange;
    private EventReader mReader;
    private long mLastNumber;
    private long mIdleNanos;
    private int mFailures;
    private boolean mIsResume;
    private boolean mMayHaveStream;

    EngineAttempt(
            String endpoint,
            HostAddress address,
            String streamId,
            int attemptNumber,
            boolean isOtherRegion,
            boolean isContinuation,
            Optional<Assignment> assignment) {
        mEndpoint = endpoint;
        mAddress = address;
        mStreamId = streamId;
        mAttemptNumber = attemptNumber;
        mIsOtherRegion = isOtherRegion;
        mIsContinuation = isContinuation;
        mAssignment = assignment;
    }

    /** Returns an attempt that resumes a stream started by another relay. */
    static EngineAttempt resumed(ResumeToken token, boolean isOtherRegion) {
        EngineAttempt attempt =
                new EngineAttempt(
                        token.endpoint(),
                        token.address(),
                        token.streamId(),
                        1,
                        isOtherRegion,
                        token.isContinuation(),
                        Optional.empty());
        attempt.setMayHaveStream();
        return attempt;
    }

    String endpoint() {
        return mEndpoint;
    }

    HostAddress address() {
        return mAddress;
    }

    String streamId() {
        return mStreamId;
    }

    /** Returns 1 for the first attempt of the request. */
    int attemptNumber() {
        return mAttemptNumber;
    }

    boolean isOtherRegion() {
        return mIsOtherRegion;
    }

    boolean isContinuation() {
        return mIsContinuation;
    }

    Optional<Assignment> assignment() {
        return mAssignment;
    }

    boolean isConnected() {
        return mExchange != null;
    }

    boolean hasResponse() {
        return mReader != null;
    }

    EventReader reader() {
        return mReader;
    }

    EndpointExchange exchange() {
        return mExchange;
    }

    Optional<EndpointResponse> awaitResponse(Duration timeout) {
        return mExchange.awaitResponse(timeout);
    }

    void connect(EndpointExchange exchange, boolean isResume) {
        mExchange = exchange;
        mIsResume = isResume;
        mIdleNanos = 0;
    }

    void startReading() {
        mReader = EventReader.of(mExchange);
        mMayHaveStream = true;
    }

    void disconnect() {
        if (mExchange != null) {
            mExchange.close();
        }
        mExchange = null;
        mReader = null;
    }

    /** Returns whether the current connection resumes a stream that was started earlier. */
    boolean isResume() {
        return mIsResume;
    }

    /** Returns whether the engine may have the stream, so that it can be resumed or cancelled. */
    boolean mayHaveStream() {
        return mMayHaveStream;
    }

    void setMayHaveStream() {
        mMayHaveStream = true;
    }

    /** Returns the number of the last event received; 0 before the first. */
    long lastNumber() {
        return mLastNumber;
    }

    void advanceTo(long number) {
        mLastNumber = number;
        mFailures = 0;
        mIdleNanos = 0;
    }

    /**
     * Adds time spent waiting for the engine; returns the total since the last event or connect.
     */
    long addIdleTime(long nanos) {
        mIdleNanos += nanos;
        return mIdleNanos;
    }

    /** Returns the token for the event with the given number. */
    ResumeToken token(long number) {
        return new ResumeToken(mEndpoint, mAddress, mStreamId, mIsContinuation, number);
    }

    /** Counts a failure; returns the number of failures since the last event. */
    int addFailure() {
        mFailures++;
        return mFailures;
    }
}
