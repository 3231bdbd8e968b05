package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChatStreamTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @TempDir Path mDirectory;

    private final FakeEngine mFirstEngine = new FakeEngine();
    private final FakeEngine mSecondEngine = new FakeEngine();
    private final FakeControl mControl = new FakeControl();
    private EntryFixture mEntry;

    @BeforeEach
    void start() throws Exception {
        mControl.withEngine("engine-1", mFirstEngine.port())
                .withEngine("engine-2", mSecondEngine.port());
        mEntry = EntryFixture.start(mDirectory, mControl);
    }

    @AfterEach
    void stop() {
        mFirstEngine.close();
        mSecondEngine.close();
        mControl.close();
    }

    /** Returns the text of a stream; fails unless its only end marker is at the end. */
    static String textOf(String stream) throws Exception {
        StringBuilder text = new StringBuilder();
        assertThat(stream, stream.indexOf("[DONE]"), is(stream.stripTrailing().length() - 6));
        for (String line : stream.split("\n")) {
            if (line.startsWith("data: {")) {
                JsonNode chunk = MAPPER.readTree(line.substring(6));
                text.append(chunk.at("/choices/0/delta/content").asText(""));
            }
        }
        return text.toString();
    }

    private int startedRequestCount() {
        return mFirstEngine.startedRequestCount() + mSecondEngine.startedRequestCount();
    }

    /** Guards against lost, repeated or reordered events of a response. */
    @Test
    void fullStreamIsRelayed() throws Exception {
        HttpResponse<String> response =
                mEntry.chat(EntryFixture.chatBody(true), "X-Request-Id", "caller-chosen");

        assertThat(response.statusCode(), is(200));
        assertThat(response.headers().firstValue("X-Request-Id").get(), is("caller-chosen"));
        assertThat(
                response.headers().firstValue("Content-Type").get(),
                startsWith("text/event-stream"));
        assertThat(textOf(response.body()), is(FakeEngine.text()));
        assertThat(startedRequestCount(), is(1));
        assertThat(mEntry.metrics(), containsString("entry_first_token_micros"));
    }

    /** Guards against an assembled response without its text, usage or finish reason. */
    @Test
    void nonStreamingResponseIsAssembledFromEvents() throws Exception {
        HttpResponse<String> response = mEntry.chat(EntryFixture.chatBody(false));

        JsonNode body = MAPPER.readTree(response.body());
        assertThat(body.path("object").asText(), is("chat.completion"));
        assertThat(body.at("/choices/0/message/content").asText(), is(FakeEngine.text()));
        assertThat(body.at("/choices/0/finish_reason").asText(), is("stop"));
        assertThat(body.at("/usage/completion_tokens").asInt(), is(8));
    }

    /** Guards against events that are buffered until the response is complete. */
    @Test
    void firstEventArrivesBeforeTheLastIsProduced() throws Exception {
        mFirstEngine.mEventPermits = new Semaphore(1);
        mSecondEngine.mEventPermits = mFirstEngine.mEventPermits;
        try (CallerSocket caller = new CallerSocket(mEntry.port())) {
            caller.startChat(EntryFixture.chatBody(true), "");
            assertThat(caller.readLine("data: "), containsString("assistant"));
            mFirstEngine.mEventPermits.release(100);
            assertThat(caller.readLine("data: [DONE]"), is("data: [DONE]"));
        }
    }

    /**
     * Runs a chat whose stream breaks {@code breakCount} times, each time after {@code eventCount}
     * events.
     */
    private String chatWithBreaks(int breakCount, int eventCount) throws Exception {
        for (FakeEngine engine : new FakeEngine[] {mFirstEngine, mSecondEngine}) {
            engine.mRemainingBreaks = mFirstEngine.mRemainingBreaks;
            engine.mBreakAfterEvents = eventCount;
        }
        mFirstEngine.mRemainingBreaks.set(breakCount);
        StringBuilder stream = new StringBuilder();
        try (CallerSocket caller = new CallerSocket(mEntry.port())) {
            caller.startChat(EntryFixture.chatBody(true), "Connection: close\r\n");
            int seen = 0;
            for (String line = caller.readLine("data: ");
                    line != null;
                    line = caller.readLine("data: ")) {
                stream.append(line).append('\n');
                seen++;
                if (seen % eventCount == 0) {
                    mFirstEngine.mBreakPermits.release();
                    mSecondEngine.mBreakPermits.release();
                }
            }
        }
        return stream.toString();
    }

    /** Guards against a broken connection that loses events or runs the request again. */
    @Test
    void brokenStreamIsResumedAtTheSameEngine() throws Exception {
        assertThat(textOf(chatWithBreaks(2, 3)), is(FakeEngine.text()));
        assertThat(startedRequestCount(), is(1));
        assertThat(mEntry.metrics(), containsString("entry_streams_resumed_total 2.0"));
    }

    /** Guards against a truncated or repeated response after an engine crash. */
    @Test
    void streamOfCrashedEngineIsContinuedByAnother() throws Exception {
        mFirstEngine.mLosesStreamsOnBreak = true;
        mSecondEngine.mLosesStreamsOnBreak = true;

        assertThat(textOf(chatWithBreaks(1, 4)), is(FakeEngine.text()));
        assertThat(startedRequestCount(), is(2));
        assertThat(mFirstEngine.startedRequestCount(), is(1));
        FakeEngine continuing =
                mFirstEngine.server().requests("POST", "/").get(0).text().contains("continue_from")
                        ? mFirstEngine
                        : mSecondEngine;
        assertThat(
                continuing.server().requests("POST", "/").get(0).text(),
                containsString("\"continue_from\":\"word1 word2 word3 \""));
        assertThat(mEntry.metrics(), containsString("entry_streams_continued_total 1.0"));
    }

    /** Guards against engines that go on generating for callers that have disconnected. */
    @Test
    void requestOfDisconnectedCallerIsCancelled() throws Exception {
        mFirstEngine.mEventPermits = new Semaphore(2);
        mSecondEngine.mEventPermits = mFirstEngine.mEventPermits;
        try (CallerSocket caller = new CallerSocket(mEntry.port())) {
            caller.startChat(EntryFixture.chatBody(true), "");
            assertThat(caller.readLine("data: "), containsString("assistant"));
            assertThat(caller.readLine(": "), is(": waiting"));
        }

        FakeEngine used = mFirstEngine.startedRequestCount() == 1 ? mFirstEngine : mSecondEngine;
        assertThat(used.awaitCancelled(), is(true));
    }

    /**
     * Guards against a response lost with its entry host, and against resuming it with the key of
     * another client account.
     */
    @Test
    void streamIsResumedByTokenAtAnotherEntryHost() throws Exception {
        EntryFixture other = EntryFixture.start(mDirectory, mControl);
        HttpResponse<String> fullResponse = mEntry.chat(EntryFixture.chatBody(true));
        String[] lines = fullResponse.body().split("\n");
        String token = "";
        int seen = 0;
        StringBuilder before = new StringBuilder();
        for (int i = 0; i < lines.length && seen < 4; i++) {
            if (lines[i].startsWith("id: ")) {
                token = lines[i].substring(4);
                seen++;
                before.append(lines[i + 1]).append('\n');
            }
        }

        HttpResponse<String> resumed =
                other.chat(EntryFixture.chatBody(true), "Last-Event-ID", token);

        assertThat(textOf(before + resumed.body()), is(FakeEngine.text()));
        assertThat(startedRequestCount(), is(1));
        HttpResponse<String> otherAccountResponse =
                other.send(
                        java.net.http.HttpRequest.newBuilder(
                                        java.net.URI.create(
                                                "http://127.0.0.1:"
                                                        + other.port()
                                                        + EntryFixture.CHAT_PATH))
                                .header("Authorization", "Bearer sfax-key")
                                .header("Last-Event-ID", token)
                                .POST(
                                        java.net.http.HttpRequest.BodyPublishers.ofString(
                                                EntryFixture.chatBody(true))));
        assertThat(otherAccountResponse.statusCode(), is(400));
        assertThat(otherAccountResponse.body(), not(containsString("word")));
    }

    /** Guards against a caller that receives nothing while a slow engine starts its response. */
    @Test
    void callerReceivesCommentsWhileEngineIsSilent() throws Exception {
        mFirstEngine.mEventPermits = new Semaphore(0);
        mSecondEngine.mEventPermits = mFirstEngine.mEventPermits;
        try (CallerSocket caller = new CallerSocket(mEntry.port())) {
            caller.startChat(EntryFixture.chatBody(true), "");
            assertThat(caller.readLine(": "), is(": waiting"));
            mFirstEngine.mEventPermits.release(100);
            assertThat(caller.readLine("data: [DONE]"), is("data: [DONE]"));
            assertThat(caller.readLine("data: "), nullValue());
        }
    }

    /** Guards against the idle timeout of connections cutting off a waiting caller. */
    @Test
    void nonStreamingResponseMayTakeLongerThanTheIdleTimeout() throws Exception {
        mFirstEngine.mEventPermits = new Semaphore(0);
        mSecondEngine.mEventPermits = mFirstEngine.mEventPermits;
        try (CallerSocket caller = new CallerSocket(mEntry.port())) {
            caller.startChat(EntryFixture.chatBody(false), "");
            // The idle timeout in the test's settings is 2 s.
            caller.socket().setSoTimeout(3_000);
            assertThrows(SocketTimeoutException.class, caller::readLine);
            caller.socket().setSoTimeout(20_000);
            mFirstEngine.mEventPermits.release(100);
            assertThat(caller.readResponse(), containsString("word8"));
        }
    }
}
