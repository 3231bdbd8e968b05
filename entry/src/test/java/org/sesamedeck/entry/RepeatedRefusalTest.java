package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.endpoint.EndpointExchange;
import org.sesamedeck.endpoint.EndpointRequest;
import org.sesamedeck.endpoint.HttpEndpointClient;

/** An endpoint that writes an earlier refusal once more before the response to a later request. */
class RepeatedRefusalTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Set<OutputStream> mRefusedOn = new HashSet<>();
    private final FakeServer mServer = new FakeServer(this::respond);
    private final HttpEndpointClient mClient = HttpEndpointClient.create();

    private synchronized boolean respond(FakeServer.Request request, OutputStream output)
            throws Exception {
        boolean isFirst = request.path().equals("/first");
        if (isFirst || mRefusedOn.contains(output)) {
            mRefusedOn.add(output);
            FakeServer.respond(output, 503, "X-Not-Executed: true\r\n", "refused");
        }
        if (!isFirst) {
            FakeServer.respond(output, 200, "", "done");
        }
        return true;
    }

    @AfterEach
    void close() {
        mClient.close();
        mServer.close();
    }

    /** Guards against telling a caller 'not executed' because of the refusal of another request. */
    @Test
    void refusalOfAnEarlierRequestIsNotBelieved() throws Exception {
        assertThat(status("/first"), is(503));
        assertThat(status("/second"), is(200));
    }

    private int status(String path) throws Exception {
        EndpointRequest request =
                EndpointRequest.withoutBody(
                        HostAddress.of("127.0.0.1", mServer.port()), "GET", path, Map.of());
        try (EndpointExchange exchange = mClient.send(request)) {
            int status = exchange.awaitResponse(TIMEOUT).orElseThrow().status();
            int length = -1;
            while (length != 0) {
                length = exchange.read(TIMEOUT).orElseThrow().length;
            }
            return status;
        }
    }
}
