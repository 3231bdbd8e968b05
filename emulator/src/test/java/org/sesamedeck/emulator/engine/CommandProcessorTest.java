package org.sesamedeck.emulator.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.core.SystemClock;

/** Tests the commands that the engine receives over HTTP, such as draining and role changes. */
final class CommandProcessorTest {
    private static final Duration CONNECTION_LIMIT = Duration.ofSeconds(2);

    private static String role(String role) {
        return "{\"role\":\"" + role + "\"}";
    }

    private static void awaitCompletion(EngineFixture engine, String id)
            throws IOException, InterruptedException {
        for (int i = 0; i < 5000; i++) {
            if (engine.get("/v1/state").path("lastCommand").asText().equals(id)) {
                return;
            }
        }
        throw new AssertionError("command " + id + " did not complete");
    }

    /**
     * Guards against an engine that checks fencing numbers but accepts a command of a former lease
     * holder, which would hide a fault of the system.
     */
    @Test
    void rejectsStaleFencingNumberWhenChecked() throws Exception {
        try (EngineFixture engine =
                EngineFixture.start(SystemClock.create(), true, CONNECTION_LIMIT)) {
            assertThat(engine.get("/v1/state").path("checksFencing").asBoolean(), is(true));
            assertThat(engine.command("c1", 7, "FENCE", "{}").statusCode(), is(200));
            assertThat(engine.command("c2", 6, "DRAIN", "{}").statusCode(), is(409));
            assertThat(engine.get("/v1/state").path("draining").asBoolean(), is(false));
            JsonNode history = engine.get("/emulator/commands");
            assertThat(history.path("commands").size(), is(1));
            assertThat(
                    history.path("rejected").path(0).path("reason").asText(),
                    equalTo("STALE_FENCING_NUMBER"));
        }
    }

    /** Guards against an engine that checks fencing numbers although it is set to ignore them. */
    @Test
    void appliesStaleFencingNumberWhenIgnored() throws Exception {
        try (EngineFixture engine =
                EngineFixture.start(SystemClock.create(), false, CONNECTION_LIMIT)) {
            engine.command("c1", 7, "FENCE", "{}");
            assertThat(engine.command("c2", 6, "DRAIN", "{}").statusCode(), is(200));
            JsonNode commands = engine.get("/emulator/commands").path("commands");
            assertThat(commands.path(1).path("fencingNumber").asInt(), is(6));
            HttpResponse<String> refused = engine.complete("r1", EngineFixture.body("late", 1));
            assertThat(refused.statusCode(), is(503));
            assertThat(refused.headers().firstValue("X-Not-Executed").orElse(""), equalTo("true"));
        }
    }

    /** Guards against concurrent commands, and against a repeated command that is applied twice. */
    @Test
    void runsOneCommandAtATimeAndAppliesItOnce() throws Exception {
        try (EngineFixture engine =
                EngineFixture.start(SystemClock.create(), true, CONNECTION_LIMIT)) {
            engine.setFaults("{\"slowFactor\":20}");
            var running =
                    engine.client()
                            .sendAsync(
                                    "POST",
                                    "/v1/chat/completions",
                                    EngineFixture.body("running", 20).toString(),
                                    "X-Request-Id",
                                    "r1");
            while (engine.get("/v1/load").path("running").asInt() == 0 && !running.isDone()) {
                Thread.onSpinWait();
            }
            assertThat(engine.command("c1", 7, "SET_ROLE", role("DECODE")).statusCode(), is(202));
            assertThat(engine.command("c1", 7, "SET_ROLE", role("DECODE")).statusCode(), is(202));
            assertThat(engine.command("c2", 7, "DRAIN", "{}").statusCode(), is(409));
            assertThat(
                    engine.complete("r2", EngineFixture.body("during", 1)).statusCode(), is(503));
            assertThat(EngineFixture.isComplete(running.join().body()), is(true));
            awaitCompletion(engine, "c1");
            assertThat(engine.get("/v1/state").path("role").asText(), equalTo("decode"));
            assertThat(engine.command("c1", 7, "SET_ROLE", role("DECODE")).statusCode(), is(200));
            assertThat(engine.get("/emulator/commands").path("commands").size(), is(1));
        }
    }

    /**
     * Guards against a delayed command over an old connection. The safety argument of the system
     * assumes that such a command is not applied.
     */
    @Test
    void commandOverAnOldConnectionIsNotApplied() throws Exception {
        ManualClock clock = ManualClock.create();
        try (EngineFixture engine = EngineFixture.start(clock, false, Duration.ofHours(1));
                Socket socket = new Socket("127.0.0.1", engine.address().port())) {
            socket.setSoTimeout(10_000);
            sendAndReadFirstByte(socket, "GET /v1/state HTTP/1.1\r\nHost: e\r\n\r\n");
            clock.advance(Duration.ofHours(1).plusNanos(1));
            String body = "{\"id\":\"late\",\"kind\":\"DRAIN\"}";
            String command =
                    "POST /v1/commands HTTP/1.1\r\nHost: e\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body;
            assertThat(sendAndReadFirstByte(socket, command), is(-1));
            assertThat(engine.get("/emulator/commands").path("commands").size(), is(0));
            assertThat(engine.get("/v1/state").path("draining").asBoolean(), is(false));
        }
    }

    /** Guards against a connection that stays open for a command that is never complete. */
    @Test
    void connectionWithoutACompleteRequestIsClosed() throws Exception {
        try (EngineFixture engine =
                        EngineFixture.start(SystemClock.create(), false, Duration.ofMillis(100));
                Socket socket = new Socket("127.0.0.1", engine.address().port())) {
            socket.setSoTimeout(10_000);
            String part = "POST /v1/commands HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n{";
            assertThat(sendAndReadFirstByte(socket, part), is(-1));
        }
    }

    /** Sends a text; returns the first byte received, or -1 if the engine closes the connection. */
    private static int sendAndReadFirstByte(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        InputStream input = socket.getInputStream();
        int first = input.read();
        if (first >= 0) {
            byte[] buffer = new byte[4096];
            int read = input.read(buffer);
            assertThat(read > 0, is(true));
        }
        return first;
    }
}
