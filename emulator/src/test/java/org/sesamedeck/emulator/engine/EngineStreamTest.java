package org.sesamedeck.emulator.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.response.ResponseText;

/** Tests response streams, prefix cache and KV cache transfer of the emulated engine. */
final class EngineStreamTest {
    private final EngineFixture mEngine =
            EngineFixture.start(SystemClock.create(), true, Duration.ofSeconds(2));

    @AfterEach
    void stop() {
        mEngine.close();
    }

    /** Guards against a response that differs from the one that the load test tool computes. */
    @Test
    void streamsResponseWithNumberedEventsAndUsage() throws Exception {
        ObjectNode body = EngineFixture.body("taste the harissa", 5);
        String events = mEngine.complete("r1", body).body();
        assertThat(
                EngineFixture.text(events), equalTo(EngineFixture.expectedResponse(body).text()));
        assertThat(EngineFixture.isComplete(events), is(true));
        assertThat(events, containsString("id: 6\n"));
        assertThat(events, containsString("\"completion_tokens\":5"));
        ObjectNode withoutStreaming = body.deepCopy().put("stream", false);
        assertThat(
                mEngine.complete("r2", withoutStreaming).body(),
                containsString(EngineFixture.expectedResponse(body).text()));
    }

    /**
     * Guards against a stream that ends when its connection is closed, or that repeats events after
     * a resume.
     */
    @Test
    void streamContinuesAfterConnectionLossAndResumes() throws Exception {
        ObjectNode body = EngineFixture.body("long log", 60);
        ResponseText expected = EngineFixture.expectedResponse(body);
        mEngine.setFaults("{\"cutNext\":1,\"cutAfterEvents\":3}");
        assertThrows(IOException.class, () -> mEngine.complete("r1", body));
        String remainingEvents = mEngine.resume("r1", 3).body();
        assertThat(EngineFixture.text(remainingEvents), equalTo(expected.text().substring(12)));
        assertThat(EngineFixture.isComplete(remainingEvents), is(true));
        assertThat(mEngine.resume("other", 0).statusCode(), is(404));
    }

    /** Guards against a repeated request that runs twice or gets the response of another one. */
    @Test
    void runsEachRequestIdOnce() throws Exception {
        ObjectNode body = EngineFixture.body("once", 8);
        String first = mEngine.complete("r1", body).body();
        String second = mEngine.complete("r1", body).body();
        assertThat(EngineFixture.text(second), equalTo(EngineFixture.text(first)));
        assertThat(mEngine.complete("r1", EngineFixture.body("other", 8)).statusCode(), is(422));
        JsonNode ledger = mEngine.get("/emulator/ledger");
        assertThat(ledger.path("total").asInt(), is(1));
        assertThat(ledger.path("runs").path(0).path("generated").asInt(), is(8));
    }

    /** Guards against a continuation, also within a token, that repeats or skips text. */
    @Test
    void continuationStartsAfterDeliveredText() throws Exception {
        ObjectNode body = EngineFixture.body("continued", 10);
        String expected = EngineFixture.expectedResponse(body).text();
        for (int delivered : List.of(1, 4, 18, 39, 40)) {
            ObjectNode continuation =
                    body.deepCopy().put("continue_from", expected.substring(0, delivered));
            String events = mEngine.complete("r" + delivered, continuation).body();
            assertThat(EngineFixture.text(events), equalTo(expected.substring(delivered)));
            assertThat(EngineFixture.isComplete(events), is(true));
        }
        ObjectNode mismatched = body.deepCopy().put("continue_from", "not this");
        assertThat(mEngine.complete("foreign", mismatched).statusCode(), is(400));
    }

    /** Guards against a cancelled request that keeps its slot in the batch. */
    @Test
    void cancelEndsStreamAndFreesBatchSlot() throws Exception {
        CompletableFuture<HttpResponse<String>> stream =
                mEngine.client()
                        .sendAsync(
                                "POST",
                                "/v1/chat/completions",
                                EngineFixture.body("endless", 50_000).toString(),
                                "X-Request-Id",
                                "r1");
        awaitField("/v1/load", "running", 1);
        assertThat(mEngine.client().send("DELETE", "/v1/streams/r1", "").statusCode(), is(204));
        assertThrows(ExecutionException.class, () -> stream.get(10, TimeUnit.SECONDS));
        awaitField("/v1/load", "running", 0);
        assertThat(mEngine.resume("r1", 0).statusCode(), is(404));
        assertThat(
                mEngine.get("/emulator/ledger").path("runs").path(0).path("state").asText(),
                equalTo("CANCELLED"));
    }

    private void awaitField(String path, String field, int value) throws Exception {
        for (int i = 0; i < 2000; i++) {
            if (mEngine.get(path).path(field).asInt() == value) {
                return;
            }
        }
        throw new AssertionError(field + " did not become " + value);
    }

    /** Guards against an abandoned stream that is retained forever. */
    @Test
    void removesAbandonedStreamAfterRetention() throws Exception {
        try (EngineFixture engine =
                EngineFixture.start(
                        SystemClock.create(), true, Duration.ZERO, Duration.ofMillis(1))) {
            engine.complete("r1", EngineFixture.body("short", 2));
            int status = 200;
            for (int i = 0; i < 2000 && status != 404; i++) {
                status = engine.resume("r1", 3).statusCode();
            }
            assertThat(status, is(404));
        }
    }

    /** Guards against a prefix cache that loses blocks, and events with wrong block hashes. */
    @Test
    void cachedPrefixIsUsedAndPublished() throws Exception {
        String prompt = "x".repeat(640);
        mEngine.complete("r1", EngineFixture.body(prompt, 1));
        String events = mEngine.complete("r2", EngineFixture.body(prompt + "tail", 1)).body();
        assertThat(events, containsString("\"cached_tokens\":128"));
        JsonNode published = mEngine.get("/v1/cache-events?after=0").path("events");
        List<String> blockHashes = PrefixCache.blockHashes(EngineFixture.MODEL, prompt);
        assertThat(blockHashes.size(), is(2));
        assertThat(published.path(1).path("block").asText(), equalTo(blockHashes.get(1)));
    }

    /**
     * Guards against a decode engine that recomputes a prompt instead of importing its KV cache.
     */
    @Test
    void decodeEngineImportsKvCacheOfPrefillEngine() throws Exception {
        try (EngineFixture decode =
                EngineFixture.start(SystemClock.create(), true, Duration.ofSeconds(2))) {
            ObjectNode body = EngineFixture.body("y".repeat(400), 6);
            String expected = EngineFixture.expectedResponse(body).text();
            String first =
                    EngineFixture.text(
                            mEngine.complete("p1", body.deepCopy().put("prefill_only", true))
                                    .body());
            assertThat(first, equalTo(expected.substring(0, 4)));
            ObjectNode continuation = body.deepCopy().put("continue_from", first);
            continuation
                    .putObject("kv_source")
                    .put("address", mEngine.address().toString())
                    .put("request_id", "p1");
            String events = decode.complete("d1", continuation).body();
            assertThat(EngineFixture.text(events), equalTo(expected.substring(4)));
            JsonNode run = decode.get("/emulator/ledger").path("runs").path(0);
            assertThat(run.path("cachedTokens").asInt(), greaterThan(100));
        }
    }
}
