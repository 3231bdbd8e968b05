package org.sesamedeck.emulator.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.TestClient;
import org.sesamedeck.emulator.http.Json;
import org.sesamedeck.emulator.response.ChatRequest;
import org.sesamedeck.emulator.response.ResponseText;

/** Test fixture: an engine with short steps, and a client for it. */
final class EngineFixture implements AutoCloseable {
    static final String MODEL = "house-judge";

    private final EngineEmulator mEngine;
    private final TestClient mClient;

    private EngineFixture(EngineEmulator engine) {
        mEngine = engine;
        mClient = TestClient.of(engine.address());
    }

    static EngineFixture start(
            Clock clock, boolean isFencingChecked, Duration commandConnectionLimit) {
        return start(clock, isFencingChecked, commandConnectionLimit, Duration.ofSeconds(30));
    }

    static EngineFixture start(
            Clock clock,
            boolean isFencingChecked,
            Duration commandConnectionLimit,
            Duration streamRetention) {
        EngineSettings settings =
                new EngineSettings(
                        "engine-1",
                        HostAddress.of("127.0.0.1", 0),
                        List.of(MODEL),
                        EngineRole.MIXED,
                        isFencingChecked,
                        100_000,
                        Duration.ofMillis(1),
                        Duration.ofNanos(10_000),
                        16,
                        256,
                        100_000,
                        100,
                        64,
                        Duration.ofMillis(20),
                        Duration.ofMillis(20),
                        commandConnectionLimit,
                        streamRetention,
                        Duration.ZERO,
                        Duration.ZERO,
                        0,
                        1e6);
        return new EngineFixture(EngineEmulator.start(settings, clock));
    }

    TestClient client() {
        return mClient;
    }

    HostAddress address() {
        return mEngine.address();
    }

    static ObjectNode body(String prompt, int outputTokens) {
        ObjectNode body = Json.object().put("model", MODEL).put("stream", true);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body.put("output_tokens", outputTokens);
    }

    static ResponseText expectedResponse(ObjectNode body) {
        return ChatRequest.parse(body).response();
    }

    HttpResponse<String> complete(String requestId, ObjectNode body)
            throws IOException, InterruptedException {
        return mClient.send(
                "POST", "/v1/chat/completions", body.toString(), "X-Request-Id", requestId);
    }

    HttpResponse<String> resume(String requestId, int afterEvent)
            throws IOException, InterruptedException {
        return mClient.send("GET", "/v1/streams/" + requestId + "?after=" + afterEvent, "");
    }

    HttpResponse<String> command(String id, long fencingNumber, String kind, String arguments)
            throws IOException, InterruptedException {
        ObjectNode command =
                Json.object().put("id", id).put("fencingNumber", fencingNumber).put("kind", kind);
        command.set("arguments", Json.parse(arguments));
        return mClient.send("POST", "/v1/commands", command.toString());
    }

    JsonNode get(String path) throws IOException, InterruptedException {
        return Json.parse(mClient.send("GET", path, "").body());
    }

    void setFaults(String faults) throws IOException, InterruptedException {
        mClient.send("PUT", "/emulator/faults", faults);
    }

    /** Returns the response text that the events of a stream add up to. */
    static String text(String events) {
        StringBuilder text = new StringBuilder();
        for (JsonNode event : parseEvents(events)) {
            text.append(event.path("choices").path(0).path("delta").path("content").asText(""));
        }
        return text.toString();
    }

    /** Parses the JSON events of a stream; skips the final {@code [DONE]}. */
    static List<JsonNode> parseEvents(String events) {
        List<JsonNode> parsed = new ArrayList<>();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: {")) {
                parsed.add(Json.parse(line.substring("data: ".length())));
            }
        }
        return parsed;
    }

    static boolean isComplete(String events) {
        return events.endsWith("data: [DONE]\n\n");
    }

    @Override
    public void close() {
        mEngine.close();
    }
}
