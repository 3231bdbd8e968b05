package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ServiceTest {
    private static final String APP = "/services/cookbook-app";
    private static final int LARGE_BODY_BYTES = 20 << 20;

    @TempDir Path mDirectory;

    /** Number of requests whose connection breaks after the service has read them. */
    private final AtomicInteger mRemainingBreaks = new AtomicInteger();

    /** A response that breaks off after its first part takes one permit before it does. */
    private final Semaphore mCutPermits = new Semaphore(0);

    /** Number of requests that are rejected with a confirmation that they did not run. */
    private final AtomicInteger mRemainingRejections = new AtomicInteger();

    private final FakeServer mFirstServer = new FakeServer(this::handle);
    private final FakeServer mSecondServer = new FakeServer(this::handle);
    private final FakeControl mControl = new FakeControl();
    private EntryFixture mEntry;

    private boolean handle(FakeServer.Request request, java.io.OutputStream output)
            throws IOException {
        if (mRemainingBreaks.getAndDecrement() > 0) {
            throw new IOException("break");
        }
        if (mRemainingRejections.getAndDecrement() > 0) {
            FakeServer.respond(output, 503, "X-Not-Executed: true\r\n", "");
            return true;
        }
        if (request.path().startsWith("/cut")) {
            FakeServer.startChunked(output, "text/plain");
            FakeServer.writeChunk(output, "part");
            mCutPermits.acquireUninterruptibly();
            throw new IOException("cut");
        }
        FakeServer.respond(
                output,
                request.method().equals("POST") ? 201 : 200,
                "X-Kept: yes\r\nContent-Type: text/plain\r\n",
                request.method() + " " + request.path() + " " + request.body().length);
        return true;
    }

    @BeforeEach
    void start() throws Exception {
        mControl.withService("app-1", mFirstServer.port())
                .withService("app-2", mSecondServer.port());
        mEntry = EntryFixture.start(mDirectory, mControl);
    }

    @AfterEach
    void stop() {
        mFirstServer.close();
        mSecondServer.close();
        mControl.close();
    }

    private int requestCount() {
        return mFirstServer.requests().size() + mSecondServer.requests().size();
    }

    private HttpResponse<String> call(String method, String path, String body, String... headers)
            throws Exception {
        HttpRequest.Builder request =
                mEntry.request(APP + path)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return mEntry.send(request);
    }

    /** Guards against a changed status, header, path or body, and against a leaked key. */
    @Test
    void requestAndResponseAreRelayedUnchanged() throws Exception {
        HttpResponse<String> response = call("PROPFIND", "/a%20b/c?d=e&f", "body", "X-Own", "1");

        assertThat(response.body(), is("PROPFIND /a%20b/c?d=e&f 4"));
        assertThat(response.headers().firstValue("X-Kept").get(), is("yes"));
        FakeServer.Request seen =
                (mFirstServer.requests().isEmpty() ? mSecondServer : mFirstServer)
                        .requests()
                        .get(0);
        assertThat(seen.headers().get("x-own"), is("1"));
        assertThat(seen.headers().get("authorization"), nullValue());
        assertThat(
                seen.headers().get("x-request-id"),
                is(response.headers().firstValue("X-Request-Id").get()));
    }

    /** Guards against large bodies that are buffered in memory or truncated. */
    @Test
    void largeBodyIsStreamed() throws Exception {
        byte[] body = new byte[LARGE_BODY_BYTES];
        new Random(1).nextBytes(body);

        HttpResponse<String> response =
                mEntry.send(
                        mEntry.request(APP + "/large")
                                .POST(
                                        HttpRequest.BodyPublishers.ofInputStream(
                                                () -> new ByteArrayInputStream(body))));

        assertThat(response.statusCode(), is(201));
        assertThat(response.body(), is("POST /large " + LARGE_BODY_BYTES));
    }

    /** Guards against failing a request that can safely run twice. */
    @Test
    void idempotentMethodIsRetried() throws Exception {
        mRemainingBreaks.set(1);
        assertThat(call("GET", "/x", "").statusCode(), is(200));
        assertThat(requestCount(), is(2));
    }

    /** Guards against a second run of a request that is not idempotent. */
    @Test
    void nonIdempotentMethodIsNotRetriedWhenOutcomeIsUnknown() throws Exception {
        mRemainingBreaks.set(1);
        HttpResponse<String> response = call("POST", "/x", "body");

        assertThat(response.statusCode(), is(502));
        assertThat(response.body(), containsString("\"executed\":\"unknown\""));
        assertThat(requestCount(), is(1));
    }

    /** Guards against failing a request that is known not to have run. */
    @Test
    void nonIdempotentMethodIsRetriedAfterConfirmedRejection() throws Exception {
        mRemainingRejections.set(1);
        assertThat(call("POST", "/x", "body").statusCode(), is(201));
        assertThat(requestCount(), is(2));
    }

    /** Guards against a truncated response that looks complete. */
    @Test
    void truncatedResponseBreaksTheConnection() throws Exception {
        try (CallerSocket caller = new CallerSocket(mEntry.port())) {
            caller.write(
                    "GET /services/cookbook-app/cut HTTP/1.1\r\nHost: e\r\n"
                            + "Authorization: Bearer tunis-key\r\n\r\n");
            assertThat(caller.readLine("4"), is("4"));
            assertThat(caller.readText(4), is("part"));
            mCutPermits.release();
            // The last chunk of a complete response would have the size 0.
            assertThat(caller.readLine("0"), nullValue());
        } catch (java.net.SocketException reset) {
            assertThat(reset.getMessage(), containsString("reset"));
        }
    }

    /**
     * Guards against a second run, instead of the stored response, for a repeated idempotency key.
     */
    @Test
    void requestWithIdempotencyKeyRunsOnce() throws Exception {
        HttpResponse<String> first = call("POST", "/pay", "5", "Idempotency-Key", "k");
        HttpResponse<String> second = call("POST", "/pay", "5", "Idempotency-Key", "k");

        assertThat(second.statusCode(), is(first.statusCode()));
        assertThat(second.body(), is(first.body()));
        assertThat(requestCount(), is(1));
    }

    /** Guards against path traversal out of the service. */
    @Test
    void relativePathIsRefused() throws Exception {
        try (CallerSocket caller = new CallerSocket(mEntry.port())) {
            caller.write(
                    "GET /services/cookbook-app/../other/x HTTP/1.1\r\nHost: e\r\n"
                            + "Authorization: Bearer tunis-key\r\n\r\n");
            assertThat(caller.readResponse(), containsString("400"));
        }
        assertThat(requestCount(), is(0));
    }
}
