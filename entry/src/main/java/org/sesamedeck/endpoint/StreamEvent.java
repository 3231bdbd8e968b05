package org.sesamedeck.endpoint;

import java.util.OptionalLong;

/**
 * One server-sent event from an engine.
 *
 * @param number the event's {@code id}, counting from 1
 * @param data the event's data
 */
public record StreamEvent(OptionalLong number, String data) {
    /** Data of the event that ends a stream. */
    public static final String DONE = "[DONE]";

    /** Returns whether this event ends the stream. */
    public boolean isDone() {
        return data.equals(DONE);
    }
}
