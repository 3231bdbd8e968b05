package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.startsWith;

import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamedeck.request.RequestKind;

/** An endpoint that writes an earlier refusal once more before the response to a later request. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RepeatedRefusalTest extends GatewayHttpFixture {
    /** Longer than the time for which no request is sent to an endpoint that has refused one. */
    private static final int REJECTION_BACKOFF_MILLIS = 300;

    private Socket mRefusedOn;

    /**
     * Guards against telling a caller that its request has not run, or running it once more,
     * because of the refusal of another request.
     */
    @ParameterizedTest
    @CsvSource({"'', r2", "'Id: r1\r\n', r2", "'Id: r1\r\n', r1"})
    void refusalOfAnEarlierRequestIsNotBelieved(String refusalHeaders, String laterIdentifier)
            throws Exception {
        String refusal =
                "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
                        + refusalHeaders
                        + "Content-Length: 0\r\n\r\n";
        ScriptedEndpoint endpoint =
                start(
                        (number, socket, output) ->
                                respond(number, socket, output, refusal, laterIdentifier));
        Socket caller = connect();
        send(caller, request(RequestKind.ONCE, "r1", ""));
        assertThat(readUntil(caller, "now\n"), startsWith("HTTP/1.1 503"));
        Thread.sleep(REJECTION_BACKOFF_MILLIS);
        send(caller, request(RequestKind.ONCE, laterIdentifier, ""));
        assertThat(readUntil(caller, "\n"), startsWith("HTTP/1.1 200"));
        assertThat(endpoint.requests(), hasSize(2));
    }

    private void respond(
            int number, Socket socket, OutputStream output, String refusal, String identifier)
            throws Exception {
        if (number == 1) {
            mRefusedOn = socket;
            write(output, refusal);
            return;
        }
        if (socket == mRefusedOn) {
            write(output, refusal);
        }
        write(output, response(identifier, "done"));
    }
}
