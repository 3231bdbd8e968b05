package org.sesamedeck.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.http.Json;
import org.sesamedeck.emulator.response.ChatRequest;

/**
 * A caller that requests one streamed response. After a failed attempt it resumes at the next entry
 * with Last-Event-ID; the collected text must equal the expected response.
 */
final class StreamCaller {
    private static final int MAX_ATTEMPTS = 60;
    private static final long RETRY_DELAY_MILLIS = 250;

    private final CallerClient mClient = new CallerClient();
    private final List<HostAddress> mEntries;
    private final String mKey;
    private final String mBody;
    private final Map<String, String> mHeaders;
    private final String mExpected;
    private final StringBuilder mText = new StringBuilder();
    private final AtomicInteger mReceivedEvents = new AtomicInteger();
    private final AtomicInteger mFailedAttempts = new AtomicInteger();
    private final Thread mThread;
    private int mEntryIndex;
    private String mLastEventId = "";
    private volatile String mProblem = "stream has not ended";

    private StreamCaller(
            Fleet fleet, int entry, String prompt, int tokens, Map<String, String> headers) {
        mEntries = fleet.entries();
        mKey = fleet.key();
        mEntryIndex = entry;
        mHeaders = headers;
        ObjectNode body =
                Json.object()
                        .put("model", fleet.deployment().plan().models().get(0))
                        .put("stream", true)
                        .put("output_tokens", tokens);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        mBody = body.toString();
        mExpected = ChatRequest.parse(body).response().text();
        mThread = new Thread(this::run, "stream-" + prompt);
        mThread.setDaemon(true);
    }

    /** Starts a stream at the entry with the given index, counted from 0. */
    static StreamCaller start(Fleet fleet, int entry, String prompt, int tokens) {
        StreamCaller caller = new StreamCaller(fleet, entry, prompt, tokens, Map.of());
        caller.mThread.start();
        return caller;
    }

    /** Returns the number of received events. */
    int receivedEvents() {
        return mReceivedEvents.get();
    }

    /** Returns the number of attempts that were refused or whose connection failed. */
    int failedAttempts() {
        return mFailedAttempts.get();
    }

    /**
     * Waits up to {@link Fleet#TIMEOUT} until the stream ends; returns a description of the fault,
     * or an empty string.
     */
    String problem() throws InterruptedException {
        mThread.join(Fleet.TIMEOUT.toMillis());
        return mProblem;
    }

    private void run() {
        try {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                try {
                    if (attempt()) {
                        return;
                    }
                } catch (IOException broken) {
                    mProblem = "connection failed: " + broken;
                }
                mFailedAttempts.incrementAndGet();
                mEntryIndex = (mEntryIndex + 1) % mEntries.size();
                Thread.sleep(RETRY_DELAY_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the stream has ended, completely or not; otherwise it has to be resumed. */
    private boolean attempt() throws IOException, InterruptedException {
        Map<String, String> headers = new java.util.HashMap<>(mHeaders);
        if (!mLastEventId.isEmpty()) {
            headers.put("Last-Event-ID", mLastEventId);
        }
        HttpResponse<InputStream> response =
                mClient.open(
                        mEntries.get(mEntryIndex), "/v1/chat/completions", mKey, mBody, headers);
        try (BufferedReader lines = CallerClient.reader(response.body())) {
            if (response.statusCode() != 200) {
                mProblem = "refused: " + response.statusCode() + " " + lines.readLine();
                return false;
            }
            return read(lines);
        }
    }

    private boolean read(BufferedReader lines) throws IOException {
        String id = "";
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.startsWith("id:")) {
                id = line.substring(3).trim();
            } else if (line.startsWith("data:")) {
                String data = line.substring(5).trim();
                if (data.equals("[DONE]")) {
                    mProblem = compareWithExpected();
                    return true;
                }
                JsonNode event = Json.parse(data);
                if (event.has("error")) {
                    mProblem = data;
                    return false;
                }
                mText.append(
                        event.path("choices").path(0).path("delta").path("content").asText(""));
                mLastEventId = id;
                mReceivedEvents.incrementAndGet();
            }
        }
        mProblem = "stream was closed normally without its end marker";
        return true;
    }

    private String compareWithExpected() {
        String text = mText.toString();
        return text.equals(mExpected)
                ? ""
                : "received "
                        + text.length()
                        + " of "
                        + mExpected.length()
                        + " characters: "
                        + text;
    }
}
