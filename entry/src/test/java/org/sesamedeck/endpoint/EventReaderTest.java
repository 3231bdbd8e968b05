package org.sesamedeck.endpoint;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.sesamedeck.core.SesamedeckException;

class EventReaderTest {
    private static final String STREAM =
            ": comment\r\n\r\nid: 1\r\ndata: first é\r\n\r\nid:2\ndata:second\ndata: line\n\n"
                    + "event: x\ndata: third\n\nid: 9\n\n";

    /** Exchange whose body is {@link #STREAM}, returned in reads of the given lengths. */
    private static final class SplitReads implements EndpointExchange {
        private final byte[] mBytes = STREAM.getBytes(StandardCharsets.UTF_8);
        private final List<Integer> mLengths;
        private int mOffset;
        private int mReadCount;

        private SplitReads(List<Integer> lengths) {
            mLengths = lengths;
        }

        @Override
        public OutputStream requestBody() {
            throw new IllegalStateException();
        }

        @Override
        public boolean awaitSent(Duration timeout) {
            return true;
        }

        @Override
        public Optional<EndpointResponse> awaitResponse(Duration timeout) {
            return Optional.empty();
        }

        @Override
        public Optional<byte[]> read(Duration timeout) {
            int length = mLengths.get(mReadCount++ % mLengths.size());
            int end = Math.min(mBytes.length, mOffset + length);
            byte[] part = Arrays.copyOfRange(mBytes, mOffset, end);
            mOffset = end;
            return Optional.of(part);
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    }

    private static StreamEvent next(EventReader reader) {
        while (true) {
            Optional<StreamEvent> event = reader.next(Duration.ZERO);
            if (event.isPresent()) {
                return event.get();
            }
        }
    }

    /** Guards against events that depend on how the bytes are split into packets. */
    @Property(seed = "1", tries = 200)
    void eventsDoNotDependOnPacketBoundaries(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 12) Integer> lengths) {
        EventReader reader = EventReader.of(new SplitReads(lengths));

        assertThat(next(reader), is(new StreamEvent(OptionalLong.of(1), "first é")));
        assertThat(next(reader), is(new StreamEvent(OptionalLong.of(2), "second\nline")));
        assertThat(next(reader), is(new StreamEvent(OptionalLong.empty(), "third")));
        assertThrows(SesamedeckException.class, () -> next(reader));
    }
}
