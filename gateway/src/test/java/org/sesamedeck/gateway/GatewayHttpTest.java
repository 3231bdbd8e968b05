package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.request.PhaseObserver;
import org.sesamedeck.request.RequestHandler;
import org.sesamedeck.request.RequestKind;
import org.sesamedeck.request.RequestSettings;
import org.sesamedeck.request.Route;
import org.sesamedeck.request.ServiceDescription;
import org.sesamedeck.request.ServiceShare;
import org.sesamedeck.request.ServingConfiguration;
import org.sesamedeck.request.TrafficLimits;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.RouterSettings;

/** Tests the HTTP server and client over real sockets with misbehaving callers and endpoints. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class GatewayHttpTest {
    private static final int BODY_LIMIT = 1_000;

    private final SystemClock mClock = SystemClock.create();
    private final EventLoop mLoop =
            (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<AutoCloseable> mResources = new ArrayList<>();
    private HostAddress mCallerAddress;

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : mResources) {
            resource.close();
        }
        mLoop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private ScriptedEndpoint start(ScriptedEndpoint.Script script) throws Exception {
        ScriptedEndpoint endpoint = ScriptedEndpoint.start(script);
        mResources.add(endpoint);
        DefaultRouter router =
                DefaultRouter.create(mClock, RouterSettings.defaults("east"), "node", 1);
        router.updateEndpoints(List.of(description(endpoint)));
        RequestHandler requestHandler =
                RequestHandler.create(
                        mClock,
                        EventLoopTimers.of(mLoop),
                        router,
                        new RecordingLog(),
                        new RequestSettings(0.1, 10, false, Duration.ZERO, Duration.ofMillis(250)),
                        new NoOpPhaseObserver());
        requestHandler.configure(configuration());
        PlainHeaderCodec headerCodec = new PlainHeaderCodec();
        EndpointClient client = EndpointClient.create(mLoop, mClock, headerCodec);
        CallerServer server = CallerServer.create(mLoop, headerCodec, requestHandler, client);
        mResources.add(() -> mLoop.submit(server::close).sync());
        mResources.add(() -> mLoop.submit(client::close).sync());
        mCallerAddress = HostAddress.of("127.0.0.1", freePort());
        server.listen(mCallerAddress);
        return endpoint;
    }

    private static final class NoOpPhaseObserver implements PhaseObserver {
        @Override
        public void promptProcessed(String service, int promptTokens, Duration duration) {}

        @Override
        public void streamCompleted(
                String service, Duration tokenInterval, Duration tokenIntervalTarget) {}
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static EndpointDescription description(ScriptedEndpoint endpoint) {
        return new EndpointDescription(
                "server",
                endpoint.address(),
                "books",
                "east-a",
                "east",
                false,
                false,
                false,
                EndpointRole.MIXED,
                Set.of());
    }

    private static ServingConfiguration configuration() {
        List<Route> routes = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            routes.add(
                    new Route(
                            kind.name(),
                            "deck",
                            "/" + kind.name() + "/",
                            kind,
                            Duration.ofSeconds(5),
                            Duration.ofSeconds(1),
                            Duration.ofSeconds(1),
                            0,
                            2,
                            List.of(new ServiceShare("books", 1))));
        }
        return ServingConfiguration.of(
                1,
                routes,
                List.of(new ServiceDescription("books", false, 100)),
                new TrafficLimits(
                        4_096, BODY_LIMIT, Duration.ofMillis(400), Duration.ofSeconds(2)));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mCallerAddress.port());
        mResources.add(0, socket);
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static String request(RequestKind kind, String identifier, String body) {
        return "POST /"
                + kind.name()
                + "/x HTTP/1.1\r\nHost: deck\r\nId: "
                + identifier
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Reads until the text ends with the given string or the connection ends. */
    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream input = socket.getInputStream();
        while (!text.toString().endsWith(end)) {
            int value;
            try {
                value = input.read();
            } catch (IOException reset) {
                return text + "<reset>";
            }
            if (value < 0) {
                return text + "<end>";
            }
            text.append((char) value);
        }
        return text.toString();
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static String response(String identifier, String body) {
        return "HTTP/1.1 200 OK\r\nId: "
                + identifier
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Guards against altered bodies, and against mixing up the responses of pipelined requests. */
    @Test
    void pipelinedRequestsGetResponsesInOrder() throws Exception {
        ScriptedEndpoint endpoint =
                start(
                        (number, socket, output) ->
                                write(output, response("r" + number, "a" + number)));
        Socket caller = connect();
        send(
                caller,
                request(RequestKind.ONCE, "r1", "one") + request(RequestKind.ONCE, "r2", "two"));
        assertThat(readUntil(caller, "a1"), startsWith("HTTP/1.1 200"));
        assertThat(readUntil(caller, "a2"), containsString("Id: r2"));
        assertThat(endpoint.requests().get(0), containsString("\r\n\r\none"));
        assertThat(endpoint.requests().get(1), containsString("\r\n\r\ntwo"));
    }

    /** Guards against relaying a truncated response as a complete one. */
    @Test
    void truncatedResponseIsNotRelayed() throws Exception {
        start(
                (number, socket, output) -> {
                    write(output, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 10\r\n\r\nhalf");
                    socket.close();
                });
        Socket caller = connect();
        send(caller, request(RequestKind.ONCE, "r1", ""));
        String text = readUntil(caller, "\n");
        assertThat(text, startsWith("HTTP/1.1 502"));
    }

    /** Guards against relaying a late response to an earlier request to the next caller. */
    @Test
    void responseToAnotherRequestIsSkipped() throws Exception {
        start(
                (number, socket, output) ->
                        write(output, response("old", "stale") + response("r1", "fresh")));
        Socket caller = connect();
        send(caller, request(RequestKind.ONCE, "r1", ""));
        String text = readUntil(caller, "fresh");
        assertThat(text, containsString("Id: r1"));
        assertThat(text, not(containsString("stale")));
    }

    /** Guards against excess bytes after a response that become part of the next one. */
    @Test
    void connectionWithExcessBytesAfterResponseIsNotReused() throws Exception {
        ScriptedEndpoint endpoint =
                start(
                        (number, socket, output) ->
                                write(output, response("r" + number, "a" + number) + "HTT"));
        Socket caller = connect();
        send(caller, request(RequestKind.ONCE, "r1", ""));
        readUntil(caller, "a1");
        send(caller, request(RequestKind.ONCE, "r2", ""));
        assertThat(readUntil(caller, "a2"), startsWith("HTTP/1.1 200"));
        assertThat(endpoint.requests(), hasSize(2));
    }

    /**
     * Guards against taking a response without length as complete when its connection was reset.
     */
    @Test
    void responseWithoutLengthEndsWhenConnectionCloses() throws Exception {
        start(
                (number, socket, output) -> {
                    write(output, "HTTP/1.1 200 OK\r\nId: r" + number + "\r\n\r\nall");
                    if (number == 2) {
                        socket.setSoLinger(true, 0);
                        Thread.sleep(200);
                    }
                    socket.close();
                });
        Socket caller = connect();
        send(caller, request(RequestKind.ONCE, "r1", ""));
        assertThat(readUntil(caller, "all"), startsWith("HTTP/1.1 200"));
        send(caller, request(RequestKind.ONCE, "r2", ""));
        assertThat(readUntil(caller, "\n"), startsWith("HTTP/1.1 502"));
    }

    /** Guards against buffering events until the stream ends. */
    @Test
    void eventsAreRelayedImmediately() throws Exception {
        start(
                (number, socket, output) -> {
                    write(
                            output,
                            "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n");
                    write(output, "f\r\nid: 1\ndata: a\n\n\r\n");
                    Thread.sleep(60_000);
                });
        Socket caller = connect();
        send(caller, request(RequestKind.STREAM, "r1", ""));
        assertThat(readUntil(caller, "data: a\n\n"), startsWith("HTTP/1.1 200"));
    }

    /**
     * Guards against a stream that breaks in the middle of an event and looks complete to the
     * caller.
     */
    @Test
    void brokenStreamIsNotTerminatedAsComplete() throws Exception {
        start(
                (number, socket, output) -> {
                    write(
                            output,
                            "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n");
                    write(output, "f\r\nid: 1\ndata: a\n\n\r\n");
                    write(output, "8\r\nid: 2\nda\r\n");
                    socket.close();
                });
        Socket caller = connect();
        send(caller, request(RequestKind.STREAM, "r1", ""));
        String text = readUntil(caller, "0\r\n\r\n");
        assertThat(text, containsString("data: a"));
        assertThat(text, not(containsString("id: 2")));
        assertThat(text.endsWith("<end>") || text.endsWith("<reset>"), is(true));
    }

    /** Guards against an endpoint that keeps working for a caller that has disconnected. */
    @Test
    void callerDisconnectCancelsEndpointCall() throws Exception {
        ScriptedEndpoint endpoint = start((number, socket, output) -> {});
        Socket caller = connect();
        send(caller, request(RequestKind.REPEATABLE, "r1", ""));
        while (endpoint.requests().isEmpty()) {
            Thread.sleep(5);
        }
        caller.close();
        assertThat(endpoint.connectionClosed().await(20, TimeUnit.SECONDS), is(true));
        assertThat(endpoint.requests(), hasSize(1));
    }

    /** Guards against request smuggling: a second request hidden in the body of the first. */
    @Test
    void ambiguousBodyLengthIsRefused() throws Exception {
        ScriptedEndpoint endpoint = start((number, socket, output) -> {});
        String[] ambiguous = {
            "Content-Length: 4\r\nTransfer-Encoding: chunked",
            "Content-Length: 4\r\nContent-Length: 5",
            "Transfer-Encoding: chunked\r\nContent-Length : 4"
        };
        for (String headers : ambiguous) {
            Socket caller = connect();
            send(
                    caller,
                    "POST /ONCE/x HTTP/1.1\r\nHost: deck\r\nId: r\r\n"
                            + headers
                            + "\r\n\r\n0\r\n\r\n");
            assertThat(headers, readUntil(caller, "\n"), startsWith("HTTP/1.1 400"));
        }
        assertThat(endpoint.requests(), hasSize(0));
    }

    /** Guards against requests that exhaust the memory. */
    @Test
    void oversizedBodiesAndHeadsAreRefused() throws Exception {
        start((number, socket, output) -> {});
        Socket caller = connect();
        send(caller, request(RequestKind.ONCE, "r", "x".repeat(BODY_LIMIT + 1)));
        assertThat(readUntil(caller, "\n"), startsWith("HTTP/1.1 413"));
        Socket other = connect();
        send(other, "GET / HTTP/1.1\r\nHost: deck\r\nX: " + "x".repeat(5_000) + "\r\n\r\n");
        assertThat(readUntil(other, "\n"), startsWith("HTTP/1.1 431"));
    }

    /** Guards against connections held open by request heads that never end. */
    @Test
    void slowHeadIsRefused() throws Exception {
        start((number, socket, output) -> {});
        Socket caller = connect();
        send(caller, "GET / HT");
        assertThat(readUntil(caller, "\n"), startsWith("HTTP/1.1 408"));
    }

    /**
     * Guards against a chunked body that is truncated, joined incorrectly or forwarded in chunks.
     */
    @Test
    void chunkedBodyIsForwardedWithContentLength() throws Exception {
        ScriptedEndpoint endpoint =
                start((number, socket, output) -> write(output, response("r1", "done")));
        Socket caller = connect();
        send(
                caller,
                "POST /ONCE/x HTTP/1.1\r\nHost: deck\r\nId: r1\r\nTransfer-Encoding: chunked"
                        + "\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        readUntil(caller, "done");
        assertThat(endpoint.requests().get(0), containsString("\r\n\r\nabcde"));
    }

    /**
     * Guards against sending a request on a connection for which the endpoint announced a close.
     */
    @Test
    void connectionIsNotReusedAfterConnectionClose() throws Exception {
        start(
                (number, socket, output) -> {
                    write(
                            output,
                            "HTTP/1.1 200 OK\r\nId: r"
                                    + number
                                    + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\na"
                                    + number);
                    if (number == 1) {
                        Thread.sleep(100);
                        socket.close();
                    }
                });
        Socket caller = connect();
        send(caller, request(RequestKind.ONCE, "r1", ""));
        readUntil(caller, "a1");
        send(caller, request(RequestKind.ONCE, "r2", ""));
        assertThat(readUntil(caller, "a2"), startsWith("HTTP/1.1 200"));
    }
}
