package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.endpoint.EndpointExchange;
import org.sesamedeck.endpoint.EndpointRequest;
import org.sesamedeck.endpoint.HttpEndpointClient;

class EndpointClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final long TOTAL_BYTES = 64L << 20;
    private static final int CHUNK_BYTES = 1 << 16;

    private final AtomicLong mSentBytes = new AtomicLong();
    private final FakeServer mServer =
            new FakeServer(
                    (request, output) -> {
                        if (request.path().equals("/small")) {
                            FakeServer.respond(output, 200, "", "small");
                            return true;
                        }
                        FakeServer.startChunked(output, "text/plain");
                        while (mSentBytes.get() < TOTAL_BYTES) {
                            FakeServer.writeChunk(output, "x".repeat(CHUNK_BYTES));
                            mSentBytes.addAndGet(CHUNK_BYTES);
                        }
                        FakeServer.writeChunk(output, "");
                        return true;
                    });
    private final HttpEndpointClient mClient = HttpEndpointClient.create();

    @AfterEach
    void close() {
        mClient.close();
        mServer.close();
    }

    private EndpointExchange get(String path) {
        return mClient.send(
                EndpointRequest.withoutBody(
                        HostAddress.of("127.0.0.1", mServer.port()), "GET", path, Map.of()));
    }

    /** Guards against buffering an unread response, and against a slow stream blocking others. */
    @Test
    void unreadStreamIsNotBufferedAndDoesNotBlockOtherRequests() throws Exception {
        try (EndpointExchange slow = get("/large")) {
            slow.awaitResponse(TIMEOUT);
            long before = -1;
            while (before != mSentBytes.get()) {
                before = mSentBytes.get();
                Thread.sleep(200);
            }
            assertThat(mSentBytes.get(), lessThan(TOTAL_BYTES));
            for (int i = 0; i < 5; i++) {
                try (EndpointExchange other = get("/small")) {
                    assertThat(other.awaitResponse(TIMEOUT).get().status(), is(200));
                    assertThat(
                            new String(other.read(TIMEOUT).get(), StandardCharsets.UTF_8),
                            is("small"));
                }
            }
            long read = 0;
            int length = -1;
            while (length != 0) {
                length = slow.read(TIMEOUT).get().length;
                read += length;
            }
            assertThat(read, is(TOTAL_BYTES));
        }
    }
}
