package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EventStreamParserTest {
    private static final String STREAM = "id: 1\ndata: a\n\nversion: 3\nid: 2\r\ndata: b\r\n\r\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Guards against events that depend on how the network splits the stream into chunks. */
    @Test
    void eventsDoNotDependOnChunkBoundaries() {
        for (int cut = 0; cut <= STREAM.length(); cut++) {
            EventStreamParser parser = new EventStreamParser();
            List<EventStreamParser.Event> events =
                    new ArrayList<>(parser.feed(bytes(STREAM.substring(0, cut))));
            events.addAll(parser.feed(bytes(STREAM.substring(cut))));
            assertThat(events, hasSize(2));
            assertThat(events.get(0).identifier(), is(OptionalLong.of(1)));
            assertThat(events.get(1).identifier(), is(OptionalLong.of(2)));
            String joined = new String(events.get(0).bytes()) + new String(events.get(1).bytes());
            assertThat(joined, equalTo(STREAM));
            assertThat(parser.hasPartialEvent(), is(false));
        }
    }

    /** Guards against delivery of an incomplete event. */
    @Test
    void incompleteEventIsBuffered() {
        EventStreamParser parser = new EventStreamParser();
        assertThat(parser.feed(bytes("id: 1\ndata: a\n")), hasSize(0));
        assertThat(parser.hasPartialEvent(), is(true));
    }

    /** Guards against an endpoint that exhausts memory with one endless event. */
    @Test
    void oversizedEventIsRejected() {
        EventStreamParser parser = new EventStreamParser();
        assertThrows(IllegalArgumentException.class, () -> parser.feed(new byte[(1 << 20) + 1]));
    }
}
