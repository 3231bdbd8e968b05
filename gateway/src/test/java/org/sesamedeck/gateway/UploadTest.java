package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamedeck.request.RequestKind;

/** Callers whose input arrives slowly, is refused while it arrives, or runs ahead. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UploadTest extends GatewayHttpFixture {
    private static final String HEAD = "POST /ONCE/x HTTP/1.1\r\nHost: deck\r\nId: r1\r\n";

    @Override
    CallerLimits callerLimits() {
        return new CallerLimits(20 * 1_024, 16);
    }

    /** Guards against a timer that runs from the head on, though the caller is never idle. */
    @Test
    void bodyMayTakeLongerThanTheIdleTimeout() throws Exception {
        start((number, socket, output) -> write(output, response("r1", "done")));
        Socket caller = connect();
        int parts = 12;
        send(caller, HEAD + "Content-Length: " + 4 * parts + "\r\n\r\n");
        for (int i = 0; i < parts; i++) {
            Thread.sleep(250);
            send(caller, "part");
        }
        assertThat(readUntil(caller, "done"), startsWith("HTTP/1.1 200"));
    }

    /** Guards against waiting without end for the rest of a body. */
    @Test
    void bodyThatStopsIsLate() throws Exception {
        ScriptedEndpoint endpoint =
                start((number, socket, output) -> write(output, response("r1", "done")));
        Socket caller = connect();
        send(caller, HEAD + "Content-Length: 8\r\n\r\npart");
        assertThat(readUntil(caller, "body is late"), startsWith("HTTP/1.1 408"));
        assertThat(endpoint.requests(), hasSize(0));
    }

    /** Guards against a reset that takes the refusal from a caller that sends a large body. */
    @Test
    void refusalReachesCallerThatSendsAnOversizedBody() throws Exception {
        start((number, socket, output) -> write(output, response("r1", "done")));
        for (String length :
                new String[] {"Content-Length: 300000", "Transfer-Encoding: chunked"}) {
            Socket caller = connect();
            send(caller, HEAD + length + "\r\n\r\n");
            for (int i = 0; i < 100; i++) {
                send(caller, "bb8\r\n" + "x".repeat(3_000) + "\r\n");
            }
            String text = readUntil(caller, "nothing ends so");
            assertThat(text, startsWith("HTTP/1.1 413"));
            assertThat(text, endsWith("<end>"));
        }
    }

    /** Guards against losing a request in progress when what follows it finds no memory. */
    @Test
    void requestInProgressSurvivesInputThatFindsNoMemory() throws Exception {
        CountDownLatch isSentAhead = new CountDownLatch(1);
        start(
                (number, socket, output) -> {
                    isSentAhead.await();
                    write(output, response("r1", "done"));
                });
        Socket caller = connect();
        send(caller, request(RequestKind.ONCE, "r1", "ok"));
        for (int i = 0; i < 20; i++) {
            Thread.sleep(20);
            send(caller, request(RequestKind.ONCE, "r1", "x".repeat(900)));
        }
        isSentAhead.countDown();
        assertThat(readUntil(caller, "done"), startsWith("HTTP/1.1 200"));
    }
}
