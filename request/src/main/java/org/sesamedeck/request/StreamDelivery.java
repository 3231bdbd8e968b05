package org.sesamedeck.request;

import java.util.List;
import java.util.OptionalLong;

/** Delivers each event of a stream once, in order, whichever endpoint it comes from. */
final class StreamDelivery {
    private final RequestPort mPort;
    private OptionalLong mLastEvent;
    private boolean mIsBegun;

    StreamDelivery(RequestPort port, OptionalLong lastEvent) {
        mPort = port;
        mLastEvent = lastEvent;
    }

    /** Returns whether the caller has received the head of the stream. */
    boolean isBegun() {
        return mIsBegun;
    }

    /** Returns the last event that the caller has. */
    OptionalLong lastEvent() {
        return mLastEvent;
    }

    /** Delivers the events that the caller does not have yet. */
    void deliver(AnswerHead head, List<EventStreamParser.Event> events) {
        for (EventStreamParser.Event event : events) {
            if (isNew(event.identifier())) {
                begin(head);
                mPort.streamEvents(event.bytes());
            }
        }
    }

    /** Ends the stream as complete. */
    void end(AnswerHead head) {
        begin(head);
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

    private void begin(AnswerHead head) {
        if (!mIsBegun) {
            mIsBegun = true;
            mPort.beginStream(head);
        }
    }
}
