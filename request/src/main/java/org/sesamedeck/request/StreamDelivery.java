package org.sesamedeck.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Delivers each event of a stream exactly once and in order, also when the stream resumes at
 * another endpoint. Events without an identifier cannot be matched and are always delivered.
 */
final class StreamDelivery {
    private final RequestPort mPort;
    private OptionalLong mLastEvent;
    private boolean mIsStarted;
    private int mEvents;
    private long mStartedNanos;

    StreamDelivery(RequestPort port, OptionalLong lastEvent) {
        mPort = port;
        mLastEvent = lastEvent;
    }

    /** Returns whether the head of the stream was sent to the caller. */
    boolean isStarted() {
        return mIsStarted;
    }

    /** Returns the number of events delivered. */
    int events() {
        return mEvents;
    }

    /** Returns when the head was sent to the caller, in nanoseconds of monotonic time. */
    long startedNanos() {
        return mStartedNanos;
    }

    /** Returns the mean time between events; empty for fewer than two. */
    Optional<Duration> meanTokenInterval(long nowNanos) {
        return mEvents < 2
                ? Optional.empty()
                : Optional.of(Duration.ofNanos((nowNanos - mStartedNanos) / (mEvents - 1)));
    }

    /** Returns the identifier of the last delivered event, or the one the caller resumed from. */
    OptionalLong lastEvent() {
        return mLastEvent;
    }

    /** Delivers the events that the caller has not received yet. */
    void deliver(ResponseHead head, List<EventStreamParser.Event> events, long nowNanos) {
        for (EventStreamParser.Event event : events) {
            if (isNew(event.identifier())) {
                begin(head, nowNanos);
                mEvents++;
                mPort.streamEvents(event.bytes());
            }
        }
    }

    /** Ends the stream as complete. */
    void end(ResponseHead head, long nowNanos) {
        begin(head, nowNanos);
        mPort.endStream();
    }

    private boolean isNew(OptionalLong identifier) {
        if (identifier.isEmpty()) {
            return true;
        }
        if (mLastEvent.isPresent() && identifier.getAsLong() <= mLastEvent.getAsLong()) {
            return false;
        }
        mLastEvent = identifier;
        return true;
    }

    private void begin(ResponseHead head, long nowNanos) {
        if (!mIsStarted) {
            mIsStarted = true;
            mStartedNanos = nowNanos;
            mPort.beginStream(head);
        }
    }
}
