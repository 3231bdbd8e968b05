package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The execution status that errors report to callers, and requests that must not run twice. */
class ExecutionStatusTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    @TempDir Path mDirectory;

    private final FakeEngine mEngine = new FakeEngine();
    private final FakeControl mControl = new FakeControl();
    private EntryFixture mEntry;

    @BeforeEach
    void start() throws Exception {
        mControl.withEngine("engine-1", mEngine.port());
        mEntry = EntryFixture.start(mDirectory, mControl);
    }

    @AfterEach
    void stop() {
        mEngine.close();
        mControl.close();
    }

    private static void assertError(
            HttpResponse<String> response, int status, String name, String executed)
            throws Exception {
        JsonNode error = MAPPER.readTree(response.body()).path("error");
        assertThat(response.body(), error.path("name").asText(), is(name));
        assertThat(response.body(), error.path("executed").asText(), is(executed));
        assertThat(response.statusCode(), is(status));
        assertThat(
                error.path("request_id").asText(),
                is(response.headers().firstValue("X-Request-Id").get()));
    }

    /** Guards against reporting "unknown" after the engine confirmed that it ran nothing. */
    @Test
    void confirmedRejectionIsReportedAsNotExecuted() throws Exception {
        mEngine.mStatus = 503;
        mEngine.mRejectionHeaders = "X-Not-Executed: true\r\nRetry-After: 7\r\n";

        HttpResponse<String> response = mEntry.chat(EntryFixture.chatBody(true));

        assertError(response, 503, "OVERLOADED", "no");
        assertThat(response.headers().firstValue("Retry-After").get(), is("7"));
    }

    /** Guards against reporting "unknown" when no connection was ever open. */
    @Test
    void refusedConnectionIsReportedAsNotExecuted() throws Exception {
        mEngine.close();

        assertError(mEntry.chat(EntryFixture.chatBody(false)), 503, "UNAVAILABLE", "no");
    }

    /** Guards against reporting "not executed" after a status that does not confirm it. */
    @Test
    void serverErrorIsReportedAsOutcomeUnknown() throws Exception {
        mEngine.mStatus = 500;

        assertError(
                mEntry.chat(EntryFixture.chatBody(true), IDEMPOTENCY_KEY, "doubt"),
                502,
                "OUTCOME_UNKNOWN",
                "unknown");
        assertThat(mEngine.startedRequestCount(), is(1));
    }

    /** Guards against running a request with an idempotency key again after an engine crash. */
    @Test
    void requestWithKeyIsNotRetriedAfterCrash() throws Exception {
        mEngine.mBreakAfterEvents = 0;
        mEngine.mRemainingBreaks.set(100);
        mEngine.mLosesStreamsOnBreak = true;
        mEngine.mBreakPermits.release(100);

        assertError(
                mEntry.chat(EntryFixture.chatBody(false), IDEMPOTENCY_KEY, "crash"),
                502,
                "OUTCOME_UNKNOWN",
                "unknown");
        assertThat(mEngine.startedRequestCount(), is(1));
        assertError(
                mEntry.chat(EntryFixture.chatBody(false), IDEMPOTENCY_KEY, "crash"),
                409,
                "IN_PROGRESS",
                "unknown");
        assertThat(mEngine.startedRequestCount(), is(1));
    }

    /** Guards against a repeated request that runs again instead of getting the stored outcome. */
    @Test
    void repeatedKeyGetsTheStoredOutcome() throws Exception {
        HttpResponse<String> first =
                mEntry.chat(EntryFixture.chatBody(false), IDEMPOTENCY_KEY, "once");
        HttpResponse<String> second =
                mEntry.chat(EntryFixture.chatBody(false), IDEMPOTENCY_KEY, "once");

        assertThat(first.statusCode(), is(200));
        assertThat(second.body(), is(first.body()));
        assertThat(mEngine.startedRequestCount(), is(1));
        assertError(
                mEntry.chat(EntryFixture.chatBody(true), IDEMPOTENCY_KEY, "once"),
                422,
                "KEY_REUSED",
                "no");
    }

    /** Guards against a stored response that a streaming caller cannot read. */
    @Test
    void storedOutcomeOfStreamIsReplayedAsStream() throws Exception {
        mEntry.chat(EntryFixture.chatBody(true), IDEMPOTENCY_KEY, "stream");

        HttpResponse<String> second =
                mEntry.chat(EntryFixture.chatBody(true), IDEMPOTENCY_KEY, "stream");

        assertThat(ChatStreamTest.textOf(second.body()), is(FakeEngine.text()));
        assertThat(mEngine.startedRequestCount(), is(1));
    }

    /** Guards against running a request whose claim is not known to be durable. */
    @Test
    void nothingIsSentWithoutAClaim() throws Exception {
        mControl.mClaimsAvailable = false;

        assertError(
                mEntry.chat(EntryFixture.chatBody(true), IDEMPOTENCY_KEY, "down"),
                503,
                "CLAIMS_UNAVAILABLE",
                "no");
        assertThat(mEngine.startedRequestCount(), is(0));
        assertThat(mEntry.chat(EntryFixture.chatBody(true)).statusCode(), is(200));
    }

    /** Guards against a key that stays claimed by an attempt that never ran. */
    @Test
    void attemptThatDidNotRunReleasesItsKey() throws Exception {
        mEngine.mStatus = 503;
        mEngine.mRejectionHeaders = "X-Not-Executed: true\r\n";
        assertError(
                mEntry.chat(EntryFixture.chatBody(false), IDEMPOTENCY_KEY, "free"),
                503,
                "OVERLOADED",
                "no");

        mEngine.mStatus = 200;
        HttpResponse<String> again =
                mEntry.chat(EntryFixture.chatBody(false), IDEMPOTENCY_KEY, "free");
        assertThat(again.body(), again.statusCode(), is(200));
    }

    /** Guards against refusals that are not reported to the control process. */
    @Test
    void refusalsAreCountedAndReported() throws Exception {
        mEngine.close();
        mEntry.chat(EntryFixture.chatBody(false));

        assertThat(mEntry.metrics(), containsString("entry_refusals_UNAVAILABLE_total 1.0"));
        long until = System.nanoTime() + 10_000_000_000L;
        long reported = 0;
        while (reported == 0 && System.nanoTime() < until) {
            Thread.onSpinWait();
            // 2003 is the number of UNAVAILABLE.
            reported =
                    mControl.mReceived.stream()
                            .filter(message -> message.hasUsageReport())
                            .flatMap(message -> message.getUsageReport().getRefusalsList().stream())
                            .filter(count -> count.getCode() == 2003)
                            .count();
        }
        assertThat(reported, greaterThan(0L));
    }
}
