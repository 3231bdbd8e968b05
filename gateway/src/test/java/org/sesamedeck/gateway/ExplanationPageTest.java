package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.RequestExplanation;
import org.sesamedeck.routing.CandidateExclusion;
import org.sesamedeck.routing.CandidateExplanation;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RoutingExplanation;

/** Tests the page of the status server over a local connection. */
class ExplanationPageTest {
    private static final String QUERY = "/explain?host=deck.example&path=/ask/x";

    private final EventLoop mLoop =
            (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<CallerRequest> mAsked = new LinkedBlockingQueue<>();
    private final BlockingQueue<CompletableFuture<RequestExplanation>> mPending =
            new LinkedBlockingQueue<>();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private StatusServer mServer;
    private int mPort;

    @BeforeEach
    void listen() throws Exception {
        mServer = StatusServer.create(mLoop, "/ready", () -> true, () -> "", this::explanation);
        try (ServerSocket socket = new ServerSocket(0)) {
            mPort = socket.getLocalPort();
        }
        mServer.listen(HostAddress.of("127.0.0.1", mPort));
    }

    @AfterEach
    void close() {
        mServer.close();
        mLoop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private CompletableFuture<RequestExplanation> explanation(CallerRequest request) {
        CompletableFuture<RequestExplanation> pending = new CompletableFuture<>();
        mAsked.add(request);
        mPending.add(pending);
        return pending;
    }

    private CompletableFuture<HttpResponse<String>> get(String pathAndQuery) {
        URI uri = URI.create("http://127.0.0.1:" + mPort + pathAndQuery);
        return mClient.sendAsync(
                HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(20)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private static RequestExplanation explanation(int candidates) {
        List<CandidateExplanation> list = new ArrayList<>();
        for (int i = 0; i < candidates; i++) {
            list.add(
                    new CandidateExplanation(
                            "engine-" + i,
                            "east-a",
                            EndpointRole.MIXED,
                            Duration.ofMillis(3),
                            Optional.empty(),
                            Optional.empty(),
                            Optional.of(Duration.ofMillis(200)),
                            Optional.of(CandidateExclusion.HELD)));
        }
        return new RequestExplanation(
                RequestExplanation.Outcome.QUEUED,
                "it waits",
                Optional.empty(),
                Optional.of("ask"),
                Optional.empty(),
                Optional.of("models"),
                Optional.of(RequestPhase.WHOLE),
                Optional.of(new RequestExplanation.QueueState(4, 9, Double.POSITIVE_INFINITY)),
                new RoutingExplanation(Optional.empty(), Optional.empty(), list));
    }

    /**
     * Guards against questions that keep a load balancer waiting or pile up on the traffic thread.
     */
    @Test
    void oneExplanationAtATimeAndReadinessGoesOn() throws Exception {
        CompletableFuture<HttpResponse<String>> first = get(QUERY);
        CompletableFuture<RequestExplanation> pending = mPending.poll(20, TimeUnit.SECONDS);
        assertThat(get(QUERY).get().statusCode(), is(503));
        assertThat(get("/ready").get().statusCode(), is(200));
        pending.complete(explanation(1));
        assertThat(first.get().statusCode(), is(200));
        CompletableFuture<HttpResponse<String>> failing = get(QUERY);
        mPending.poll(20, TimeUnit.SECONDS).completeExceptionally(new IllegalStateException());
        assertThat("the page is free again", failing.get().statusCode(), is(500));
    }

    /** Guards against a parameter that is ignored, and against a page that is not bounded. */
    @Test
    void theRequestIsReadAndThePageIsBounded() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                get(QUERY + "%20y&model=m&prompt-tokens=700&output-tokens=20&request-id=r1");
        CallerRequest request = mAsked.poll(20, TimeUnit.SECONDS);
        assertThat(request.host(), is("deck.example"));
        assertThat(request.path(), is("/ask/x y"));
        assertThat(request.model(), is(Optional.of("m")));
        assertThat(request.promptTokens(), is(700));
        assertThat(request.outputTokens(), is(20));
        assertThat(request.identifier(), is("r1"));
        mPending.poll(20, TimeUnit.SECONDS).complete(explanation(200));
        String text = response.get().body();
        assertThat(text, containsString("\"queue\":{\"ahead\":4,\"inProgress\":9.0}"));
        assertThat(text, containsString("\"loadAgeMillis\":200.0,\"exclusion\":\"HELD\""));
        assertThat(text, containsString("\"candidatesOmitted\":136"));
        assertThat(text, not(containsString("engine-64\"")));
        assertThat(text.length(), is(lessThan(20_000)));
    }

    /** Guards against malformed questions that are answered as if they were others. */
    @Test
    void malformedQuestionsNameTheParameter() throws Exception {
        for (String[] wrong :
                new String[][] {
                    {"/explain?path=/x", "host"},
                    {"/explain", "host"},
                    {"/explain?host=h&path=x", "path"},
                    {QUERY + "&prompt-tokens=-1", "prompt-tokens"},
                    {QUERY + "&output-tokens=9999999999", "output-tokens"},
                    {QUERY + "&key=k", "key"}
                }) {
            HttpResponse<String> response = get(wrong[0]).get();
            assertThat(wrong[0], response.statusCode(), is(400));
            assertThat(response.body(), containsString("\"" + wrong[1] + "\""));
        }
        assertThat(get("/explained").get().statusCode(), is(404));
    }

    /** Guards against a later response on a connection that overtakes a pending explanation. */
    @Test
    void pipelinedRequestClosesTheConnection() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", mPort)) {
            socket.setSoTimeout(20_000);
            String head = " HTTP/1.1\r\nHost: status\r\n\r\n";
            socket.getOutputStream()
                    .write(
                            ("GET " + QUERY + head + "GET /ready" + head)
                                    .getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().read(), is(-1));
        }
    }
}
