package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamedeck.request.RequestKind;

/** Callers that read their responses slowly or not at all. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SlowReaderTest extends GatewayHttpFixture {
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\n";

    private static final int EVENT_BYTES = 8_000;
    private static final int EVENTS = 250;

    /** Buffers of the two connections, and what the gateway keeps for one caller. */
    private static final long MAX_ACCEPTED_BYTES = 48L << 20;

    private final AtomicLong mWritten = new AtomicLong();

    private void writeEvents(OutputStream output, int count) throws Exception {
        write(output, STREAM_HEAD);
        for (int i = 1; i <= count; i++) {
            write(output, "id: " + i + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n");
            mWritten.addAndGet(EVENT_BYTES);
        }
    }

    /**
     * Guards against holding an endpoint back until it cuts the response off, and against reading
     * without end for a caller that reads nothing.
     */
    @Test
    void endpointIsReadOnForCallerThatReadsNothing() throws Exception {
        start(
                (number, socket, output) -> {
                    // A writer wakes up when a third of its buffer is free.
                    socket.setSendBufferSize(32_768);
                    writeEvents(output, Integer.MAX_VALUE);
                });
        Socket caller = connectSlowly();
        send(caller, request(RequestKind.STREAM, "r1", ""));
        assertThat(longestPause(Duration.ofMillis(4_500)), lessThan(Duration.ofMillis(2_500)));
        assertThat(mWritten.get(), lessThan(MAX_ACCEPTED_BYTES));
    }

    /** Returns the longest time within the next one in which the endpoint could write nothing. */
    private Duration longestPause(Duration time) throws InterruptedException {
        long start = System.nanoTime();
        long progressAt = start;
        long written = mWritten.get();
        long longest = 0;
        while (System.nanoTime() - start < time.toNanos()) {
            Thread.sleep(20);
            longest = Math.max(longest, System.nanoTime() - progressAt);
            if (mWritten.get() > written) {
                written = mWritten.get();
                progressAt = System.nanoTime();
            }
        }
        return Duration.ofNanos(longest);
    }

    /** Guards against ending a caller that is slow but reads all. */
    @Test
    void callerThatReadsLateGetsAllOfTheStream() throws Exception {
        start(
                (number, socket, output) -> {
                    writeEvents(output, EVENTS);
                    socket.close();
                });
        Socket caller = connectSlowly();
        send(caller, request(RequestKind.STREAM, "r1", ""));
        Thread.sleep(1_500);
        byte[] all = caller.getInputStream().readNBytes(EVENTS * EVENT_BYTES);
        String text = new String(all, StandardCharsets.ISO_8859_1);
        text += readUntil(caller, "\r\n0\r\n\r\n");
        assertThat(text, containsString("id: " + EVENTS + "\n"));
    }

    /** Guards against starting requests sent ahead whose responses pile up unread. */
    @Test
    void nextRequestWaitsUntilTheResponseIsRead() throws Exception {
        String body = "x".repeat(900_000);
        ScriptedEndpoint endpoint =
                start((number, socket, output) -> write(output, response("r1", body)));
        Socket caller = connectSlowly();
        send(caller, request(RequestKind.REPEATABLE, "r1", "").repeat(10));
        Thread.sleep(1_500);
        assertThat(endpoint.requests().size(), lessThan(10));
        int expected = 10 * body.length();
        byte[] all = caller.getInputStream().readNBytes(expected);
        assertThat(all.length, greaterThan(expected - 1));
        assertThat(new String(all, 0, 12, StandardCharsets.ISO_8859_1), containsString("200"));
    }
}
