package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests requests without a valid key over real sockets. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UnauthenticatedRequestTest extends GatewayHttpFixture {
    private static final String KEY = "secret";

    private ScriptedEndpoint startWithKey() throws Exception {
        ScriptedEndpoint endpoint =
                start((number, socket, output) -> write(output, response("r1", "done")));
        requireKey(KEY);
        return endpoint;
    }

    private static String head(String key, String length) {
        return "POST /ONCE/x HTTP/1.1\r\nHost: deck\r\nId: r1\r\nKey: "
                + key
                + "\r\n"
                + length
                + "\r\n\r\n";
    }

    /** Guards against waiting for a body that is refused anyway, and against losing the refusal. */
    @Test
    void unknownKeyIsRefusedBeforeTheBodyArrives() throws Exception {
        ScriptedEndpoint endpoint = startWithKey();
        for (String length : new String[] {"Content-Length: 900", "Transfer-Encoding: chunked"}) {
            Socket caller = connect();
            send(caller, head("wrong", length));
            String text = readUntil(caller, "account\n");
            assertThat(text, startsWith("HTTP/1.1 401"));
            assertThat(text.toLowerCase(Locale.ROOT), containsString("connection: close"));
            assertThat(text, not(containsString("wrong")));
        }
        assertThat(endpoint.requests(), hasSize(0));
    }

    /** Guards against reading the unread body of a refused request as the next request. */
    @Test
    void bytesAfterRefusedHeadAreNotReadAsRequest() throws Exception {
        ScriptedEndpoint endpoint = startWithKey();
        Socket caller = connect();
        send(caller, head("wrong", "Content-Length: 900") + head(KEY, "Content-Length: 0"));
        String text = readUntil(caller, "nothing ends so");
        assertThat(text, startsWith("HTTP/1.1 401"));
        assertThat(text, endsWith("<end>"));
        assertThat(text.lastIndexOf("HTTP/1.1"), is(0));
        assertThat(endpoint.requests(), hasSize(0));
    }

    /** Guards against a reset that takes the refusal from a caller that still sends its body. */
    @Test
    void refusalReachesCallerThatSendsItsWholeBody() throws Exception {
        startWithKey();
        Socket caller = connect();
        send(caller, head("wrong", "Content-Length: 900"));
        Thread.sleep(50);
        send(caller, "x".repeat(900));
        Thread.sleep(50);
        assertThat(readUntil(caller, "nothing ends so"), endsWith("account\n<end>"));
    }

    /**
     * Guards against refusing an earlier request, or out of order, with the one that follows it.
     */
    @Test
    void refusalFollowsTheAnswerOfTheRequestBefore() throws Exception {
        startWithKey();
        Socket caller = connect();
        send(caller, head(KEY, "Content-Length: 0") + head("wrong", "Content-Length: 900"));
        assertThat(readUntil(caller, "done"), startsWith("HTTP/1.1 200"));
        assertThat(readUntil(caller, "account\n"), startsWith("HTTP/1.1 401"));
    }

    /** Guards against closing connections on which only a key was wrong. */
    @Test
    void connectionStaysOpenAfterRefusalOfRequestWithoutBody() throws Exception {
        startWithKey();
        Socket caller = connect();
        send(caller, head("wrong", "Content-Length: 0"));
        assertThat(readUntil(caller, "account\n"), startsWith("HTTP/1.1 401"));
        send(caller, head(KEY, "Content-Length: 2") + "ok");
        assertThat(readUntil(caller, "done"), startsWith("HTTP/1.1 200"));
    }

    /** Guards against continuing to serve a withdrawn key on a connection that is open. */
    @Test
    void withdrawnKeyIsRefusedOnOpenConnection() throws Exception {
        startWithKey();
        Socket caller = connect();
        send(caller, head(KEY, "Content-Length: 0"));
        assertThat(readUntil(caller, "done"), startsWith("HTTP/1.1 200"));
        requireKey("another", 3);
        send(caller, head(KEY, "Content-Length: 0"));
        assertThat(readUntil(caller, "account\n"), startsWith("HTTP/1.1 401"));
    }
}
