package org.sesamedeck.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Delivers each event of a stream once, in order, whichever endpoint it comes from. */
final class StreamDelivery {
    private final RequestPort mPort;
    private OptionalLong mLastEvent;
    private boolean mIsBegun;
    private int mEvents;
    private long mBegunNanos;

    StreamDelivery(RequestPort port, OptionalLong lastEvent) {
        mPort = port;
        mLastEvent = lastEvent;
    }

    /** Returns whether the caller has received the head of the stream. */
    boolean isBegun() {
        return mIsBegun;
    }

    /** Returns the number of events delivered. */
    int events() {
        return mEvents;
    }

    /** Returns when the caller received the head, in nanoseconds of monotonic time. */
    long begunNanos() {
        return mBegunNanos;
    }

    /** Returns the mean time between events; empty for fewer than two. */
    Optional<Duration> meanPause(long nowNanos) {
        return mEvents < 2
                ? Optional.empty()
                : Optional.of(Duration.ofNanos((nowNanos - mBegunNanos) / (mEvents - 1)));
    }

    /** Returns the last event that the caller has. */
    OptionalLong lastEvent() {
        return mLastEvent;
    }

    /** Delivers the events that the caller does not have yet. */
    void deliver(AnswerHead head, List<EventStreamParser.Event> events, long nowNanos) {
        for (EventStreamParser.Event event : events) {
            if (isNew(event.identifier())) {
                begin(head, nowNanos);
                mEvents++;
                mPort.streamEvents(event.bytes());
            }
        }
    }

    /** Ends the stream as complete. */
    void end(AnswerHead head, long nowNanos) {
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

    private void begin(AnswerHead head, long nowNanos) {
        if (!mIsBegun) {
            mIsBegun = true;
            mBegunNanos = nowNanos;
            mPort.beginStream(head);
        }
    }
}
