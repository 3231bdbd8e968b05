package org.sesamedeck.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine that responds to every request with the same words, one event per word. */
final class FakeEngine implements AutoCloseable {
    static final int WORD_COUNT = 8;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final FakeServer mServer = new FakeServer(this::handle);
    private final Map<String, List<String>> mStreams = new ConcurrentHashMap<>();
    private final CountDownLatch mCancelled = new CountDownLatch(1);

    /** Connections break after this many events while {@link #mRemainingBreaks} is positive. */
    volatile int mBreakAfterEvents = 3;

    /** Number of connections that still break; engines may share the counter. */
    volatile AtomicInteger mRemainingBreaks = new AtomicInteger();

    /** Each break takes one permit, so that a test controls what arrives before it. */
    final Semaphore mBreakPermits = new Semaphore(0);

    /** Whether a break also loses the stored streams, as a crash does. */
    volatile boolean mLosesStreamsOnBreak;

    /** When not null, each event takes one permit. */
    volatile Semaphore mEventPermits;

    /** When not 200, the engine rejects requests with this status. */
    volatile int mStatus = 200;

    volatile String mRejectionHeaders = "";

    /** When not empty, the engine ends as soon as it receives a request with this text. */
    volatile String mCrashingText = "";

    int port() {
        return mServer.port();
    }

    FakeServer server() {
        return mServer;
    }

    boolean awaitCancelled() throws InterruptedException {
        return mCancelled.await(20, TimeUnit.SECONDS);
    }

    int startedRequestCount() {
        return mServer.requests("POST", "/v1/chat/completions").size();
    }

    static String text() {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= WORD_COUNT; i++) {
            text.append("word").append(i).append(' ');
        }
        return text.toString();
    }

    private boolean handle(FakeServer.Request request, OutputStream output) throws Exception {
        if (request.method().equals("DELETE")) {
            mCancelled.countDown();
            FakeServer.respond(output, 200, "", "");
            return true;
        }
        if (request.path().startsWith("/v1/streams/")) {
            String id =
                    request.path().substring("/v1/streams/".length(), request.path().indexOf('?'));
            int after = Integer.parseInt(request.path().replaceAll(".*after=", ""));
            if (!mStreams.containsKey(id)) {
                FakeServer.respond(output, 404, "", "");
                return true;
            }
            return stream(id, after, output);
        }
        if (!request.path().equals("/v1/chat/completions")) {
            FakeServer.respond(output, 200, "X-Load: queued=0;running=0;age-millis=0\r\n", "{}");
            return true;
        }
        if (mStatus != 200) {
            FakeServer.respond(
                    output, mStatus, mRejectionHeaders, "{\"error\":{\"message\":\"no\"}}");
            return true;
        }
        if (!mCrashingText.isEmpty() && request.text().contains(mCrashingText)) {
            mStreams.clear();
            return false;
        }
        String id = request.headers().get("x-request-id");
        mStreams.put(id, events(MAPPER.readTree(request.body())));
        return stream(id, 0, output);
    }

    private static List<String> events(JsonNode request) {
        String remainingText = text().substring(request.path("continue_from").asText("").length());
        List<String> events = new ArrayList<>();
        events.add(chunk("{\"role\":\"assistant\",\"content\":\"\"}", "null"));
        for (String word : remainingText.split("(?<= )")) {
            events.add(chunk("{\"content\":\"" + word + "\"}", "null"));
        }
        events.add(chunk("{}", "\"stop\""));
        events.add(
                "{\"id\":\"c\",\"choices\":[],\"usage\":{\"prompt_tokens\":7,"
                        + "\"completion_tokens\":8,\"total_tokens\":15}}");
        events.add("[DONE]");
        return events;
    }

    private static String chunk(String delta, String finish) {
        return "{\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\","
                + "\"choices\":[{\"index\":0,\"delta\":"
                + delta
                + ",\"finish_reason\":"
                + finish
                + "}]}";
    }

    private boolean stream(String id, int after, OutputStream output)
            throws IOException, InterruptedException {
        List<String> events = mStreams.get(id);
        FakeServer.startChunked(output, "text/event-stream");
        int sent = 0;
        for (int i = after; i < events.size(); i++) {
            if (sent == mBreakAfterEvents && mRemainingBreaks.getAndDecrement() > 0) {
                mBreakPermits.acquire();
                if (mLosesStreamsOnBreak) {
                    mStreams.clear();
                }
                throw new IOException("break");
            }
            Semaphore eventPermits = mEventPermits;
            if (eventPermits != null) {
                eventPermits.acquire();
            }
            FakeServer.writeChunk(output, "id: " + (i + 1) + "\ndata: " + events.get(i) + "\n\n");
            sent++;
        }
        FakeServer.writeChunk(output, "");
        return true;
    }

    @Override
    public void close() {
        mServer.close();
    }
}
