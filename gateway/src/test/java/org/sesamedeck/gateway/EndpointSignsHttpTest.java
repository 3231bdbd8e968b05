package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamedeck.request.RequestKind;

/** The signs of an endpoint in its responses on real sockets. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EndpointSignsHttpTest extends GatewayHttpFixture {
    private static final Pattern RETRY_AFTER = Pattern.compile("(?i)Retry-After: ([0-9.]+)");

    private String exchange(String identifier) throws Exception {
        try (Socket caller = connect()) {
            send(caller, request(RequestKind.REPEATABLE, identifier, ""));
            return readUntil(caller, "\n");
        }
    }

    private double refusedFor(String identifier) throws Exception {
        try (Socket caller = connect()) {
            send(caller, request(RequestKind.REPEATABLE, identifier, ""));
            String head = readUntil(caller, "\r\n\r\n");
            assertThat(head, startsWith("HTTP/1.1 503"));
            Matcher matcher = RETRY_AFTER.matcher(head);
            assertThat(head, matcher.find(), is(true));
            return Double.parseDouble(matcher.group(1));
        }
    }

    /** Guards against passing requests on to an endpoint that says that it leaves. */
    @Test
    void leavingEndpointGetsNoFurtherRequest() throws Exception {
        ScriptedEndpoint endpoint =
                start(
                        (number, socket, output) ->
                                write(
                                        output,
                                        response(endpointIdentifier(number), "done")
                                                .replace("OK\r\n", "OK\r\nLeaving: 1\r\n")));
        assertThat(exchange("r1"), startsWith("HTTP/1.1 200"));
        for (int i = 2; i < 12; i++) {
            assertThat(exchange("r" + i), startsWith("HTTP/1.1 503"));
        }
        assertThat(endpoint.requests(), hasSize(1));
    }

    /** Guards against passing requests on to an endpoint before the time that it asked for ends. */
    @Test
    void endpointIsHeldOffForTheTimeThatItAskedFor() throws Exception {
        ScriptedEndpoint endpoint =
                start(
                        (number, socket, output) ->
                                write(
                                        output,
                                        number == 1
                                                ? "HTTP/1.1 503 Service Unavailable\r\n"
                                                        + "Not-Run: 1\r\n"
                                                        + "Retry-After-Millis: 1500\r\n"
                                                        + "Content-Length: 0\r\n\r\n"
                                                : response("last", "done")));
        long start = System.nanoTime();
        refusedFor("r1");
        double delay = refusedFor("r2");
        long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertThat(delay * 1_000 + elapsed, is(greaterThanOrEqualTo(1_500.0)));
        while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) < 1_400) {
            refusedFor("r3");
            Thread.sleep(50);
        }
        assertThat(endpoint.requests(), hasSize(1));
        Thread.sleep(600);
        assertThat(exchange("last"), containsString("200"));
        assertThat(endpoint.requests(), hasSize(2));
    }

    private static String endpointIdentifier(int number) {
        return "r" + number;
    }
}
