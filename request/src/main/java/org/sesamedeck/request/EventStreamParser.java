package org.sesamedeck.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits the bytes of a {@code text/event-stream} body into complete events. An incomplete event is
 * buffered, so that a stream that breaks within an event is delivered up to the previous event.
 */
final class EventStreamParser {
    /** A larger incomplete event is treated as a failure of the endpoint. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private int mLineLength;

    /**
     * One complete event with the empty line that ends it.
     *
     * @param bytes the event as it was received
     * @param identifier its identifier, if it has one
     */
    record Event(byte[] bytes, OptionalLong identifier) {}

    /**
     * Returns the events that these bytes complete.
     *
     * @throws IllegalArgumentException if the incomplete event is larger than 1 MiB
     */
    List<Event> feed(byte[] bytes) {
        List<Event> events = new ArrayList<>(2);
        for (byte value : bytes) {
            mPending.write(value);
            if (value == '\n') {
                if (mLineLength == 0) {
                    byte[] event = mPending.toByteArray();
                    mPending.reset();
                    if (!isBlank(event)) {
                        events.add(new Event(event, identifierOf(event)));
                    }
                }
                mLineLength = 0;
            } else if (value != '\r') {
                mLineLength++;
            }
        }
        if (mPending.size() > MAX_EVENT_BYTES) {
            throw new IllegalArgumentException("event is larger than " + MAX_EVENT_BYTES);
        }
        return events;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return mPending.size() > 0;
    }

    private static boolean isBlank(byte[] event) {
        for (byte value : event) {
            if (value != '\r' && value != '\n') {
                return false;
            }
        }
        return true;
    }

    private static OptionalLong identifierOf(byte[] event) {
        int start = 0;
        for (int i = 0; i < event.length; i++) {
            if (event[i] != '\n') {
                continue;
            }
            if (startsWith(event, start, ID_FIELD)) {
                String text =
                        new String(
                                event,
                                start + ID_FIELD.length,
                                i - start - ID_FIELD.length,
                                StandardCharsets.US_ASCII);
                return parse(text.strip());
            }
            start = i + 1;
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parse(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException notANumber) {
            return OptionalLong.empty();
        }
    }

    private static boolean startsWith(byte[] bytes, int offset, byte[] prefix) {
        if (offset + prefix.length > bytes.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (bytes[offset + i] != prefix[i]) {
                return false;
            }
        }
        return true;
    }
}
