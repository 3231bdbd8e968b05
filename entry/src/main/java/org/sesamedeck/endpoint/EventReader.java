package org.sesamedeck.endpoint;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** Reads server-sent events from the response body of an exchange. Not thread-safe. */
public final class EventReader {
    /** Limits the memory that a faulty engine can use up. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

    private final EndpointExchange mExchange;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream(256);
    private final StringBuilder mData = new StringBuilder();
    private final Deque<StreamEvent> mEvents = new ArrayDeque<>();
    private OptionalLong mNumber = OptionalLong.empty();
    private boolean mHasData;
    private boolean mSkipLineFeed;
    private boolean mEnded;

    private EventReader(EndpointExchange exchange) {
        mExchange = exchange;
    }

    /** Returns a reader; it does not close the exchange. */
    public static EventReader of(EndpointExchange exchange) {
        return new EventReader(exchange);
    }

    /**
     * Returns the next event. If none is buffered, reads from the exchange once, waiting up to the
     * timeout.
     *
     * @return empty when no event is complete after that read
     * @throws SesamedeckException with OUTCOME_UNKNOWN when the body ended or an event is too
     *     large; the failures of the exchange are passed on
     */
    public Optional<StreamEvent> next(Duration timeout) {
        if (mEvents.isEmpty() && !mEnded) {
            Optional<byte[]> bytes = mExchange.read(timeout);
            bytes.ifPresent(this::parse);
            mEnded = bytes.isPresent() && bytes.get().length == 0;
        }
        if (mEvents.isEmpty() && mEnded) {
            throw SesamedeckException.of(
                    ResultCode.OUTCOME_UNKNOWN, "the engine ended its stream early");
        }
        return Optional.ofNullable(mEvents.poll());
    }

    /** Returns whether {@link #next} would return an event without blocking. */
    public boolean isReady() {
        return !mEvents.isEmpty();
    }

    private void parse(byte[] bytes) {
        int start = 0;
        for (int index = 0; index < bytes.length; index++) {
            byte value = bytes[index];
            if (value != '\n' && value != '\r') {
                mSkipLineFeed = false;
                continue;
            }
            if (value == '\n' && mSkipLineFeed) {
                mSkipLineFeed = false;
                start = index + 1;
                continue;
            }
            mSkipLineFeed = value == '\r';
            mLine.write(bytes, start, index - start);
            checkSize();
            parseLine(mLine.toString(StandardCharsets.UTF_8));
            mLine.reset();
            start = index + 1;
        }
        mLine.write(bytes, start, bytes.length - start);
        checkSize();
    }

    private void checkSize() {
        if (mLine.size() + mData.length() > MAX_EVENT_BYTES) {
            throw SesamedeckException.of(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the engine sent an event of more than " + MAX_EVENT_BYTES + " bytes");
        }
    }

    private void parseLine(String line) {
        if (line.isEmpty()) {
            if (mHasData) {
                mEvents.add(new StreamEvent(mNumber, mData.toString()));
            }
            mData.setLength(0);
            mNumber = OptionalLong.empty();
            mHasData = false;
        } else if (line.startsWith("data:")) {
            if (mHasData) {
                mData.append('\n');
            }
            mData.append(valueOf(line, "data:".length()));
            mHasData = true;
        } else if (line.startsWith("id:")) {
            String number = valueOf(line, "id:".length());
            if (NUMBER.matcher(number).matches()) {
                mNumber = OptionalLong.of(Long.parseLong(number));
            }
        }
    }

    private static String valueOf(String line, int start) {
        return line.startsWith(" ", start) ? line.substring(start + 1) : line.substring(start);
    }
}
