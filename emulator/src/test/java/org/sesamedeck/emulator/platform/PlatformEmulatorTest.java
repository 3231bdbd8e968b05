package org.sesamedeck.emulator.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.emulator.TestClient;
import org.sesamedeck.emulator.http.Json;

/** Tests the platform emulator, whose object store the system's safety tests rely on. */
final class PlatformEmulatorTest {
    private final ManualClock mClock = ManualClock.create();
    private PlatformEmulator mPlatform;
    private TestClient mClient;

    @BeforeEach
    void start() {
        mPlatform =
                PlatformEmulator.start(
                        HostAddress.of("127.0.0.1", 0),
                        mClock,
                        new PlatformLimits(20, 20, Duration.ofSeconds(1)));
        mClient = TestClient.of(mPlatform.address());
    }

    @AfterEach
    void stop() {
        mPlatform.close();
    }

    private long create(String key) throws IOException, InterruptedException {
        HttpResponse<String> created =
                mClient.send("PUT", "/v1/objects/" + key, "first", "If-None-Match", "*");
        assertThat(created.statusCode(), is(200));
        return version(created);
    }

    private HttpResponse<String> update(String key, long version, String value)
            throws IOException, InterruptedException {
        return mClient.send(
                "PUT", "/v1/objects/" + key, value, "If-Match", String.valueOf(version));
    }

    private static long version(HttpResponse<String> response) {
        return Json.parse(response.body()).path("version").asLong();
    }

    private void setFaults(String faults) throws IOException, InterruptedException {
        assertThat(mClient.send("PUT", "/emulator/faults", faults).statusCode(), is(200));
    }

    /**
     * Guards against versions counted per object: fencing numbers must increase over the whole
     * store.
     */
    @Test
    void versionsIncreaseStoreWideAndAreNotReusedAfterDeletion() throws Exception {
        long first = create("lease/one");
        long second = create("lease/two");
        assertThat(second, greaterThan(first));
        assertThat(
                mClient.send("DELETE", "/v1/objects/lease/one", "", "If-Match", "" + first)
                        .statusCode(),
                is(200));
        assertThat(create("lease/one"), greaterThan(second + 1));
    }

    /** Guards against a write that is applied although its precondition fails. */
    @Test
    void refusesWritesWithFailedPrecondition() throws Exception {
        long version = create("a/b");
        assertThat(update("a/b", version + 1, "wrong").statusCode(), is(412));
        assertThat(
                mClient.send("PUT", "/v1/objects/a/b", "again", "If-None-Match", "*").statusCode(),
                is(412));
        assertThat(update("a/absent", 1, "x").statusCode(), is(404));
        assertThat(mClient.send("PUT", "/v1/objects/a/b", "unconditional").statusCode(), is(400));
        assertThat(mClient.send("GET", "/v1/objects/a/b", "").body(), containsString("\"first\""));
        assertThat(update("a/b", version, "x".repeat((1 << 20) + 1)).statusCode(), is(413));
        assertThat(update("a/b", version, "x".repeat(1 << 20)).statusCode(), is(200));
    }

    /** Guards against fault injection that drops the write instead of its response. */
    @Test
    void lostResponseKeepsTheWrite() throws Exception {
        long version = create("a/b");
        setFaults("{\"loseAnswersNext\":1}");
        assertThrows(IOException.class, () -> update("a/b", version, "second"));
        HttpResponse<String> read = mClient.send("GET", "/v1/objects/a/b", "");
        assertThat(read.body(), containsString("\"second\""));
        assertThat(update("a/b", version(read), "third").statusCode(), is(200));
    }

    /** Guards against a watch that misses a write or responds with an old version. */
    @Test
    void watchRespondsToNewVersionAndTimesOutWithoutContent() throws Exception {
        long version = create("a/b");
        assertThat(mClient.send("GET", "/v1/watch/a/b?after=0&wait=5", "").statusCode(), is(200));
        assertThat(
                mClient.send("GET", "/v1/watch/a/b?after=" + version + "&wait=0", "").statusCode(),
                is(204));
        setFaults("{\"staleWatchMillis\":50}");
        CompletableFuture<HttpResponse<String>> watch =
                mClient.sendAsync("GET", "/v1/watch/a/b?after=" + version + "&wait=15", "");
        awaitWaitingWatch();
        update("a/b", version, "second");
        HttpResponse<String> response = watch.get(15, TimeUnit.SECONDS);
        assertThat(version(response), greaterThan(version));
        assertThat(response.body(), containsString("\"second\""));
    }

    private void awaitWaitingWatch() throws IOException, InterruptedException {
        for (int i = 0; i < 1000; i++) {
            String calls = mClient.send("GET", "/emulator/calls", "").body();
            if (Json.parse(calls).path("waitingWatches").asInt() == 1) {
                return;
            }
        }
        throw new AssertionError("the platform did not register the watch");
    }

    /**
     * Guards against a rate limit that is never enforced or never recovers, and against a limit on
     * writes that also affects reads.
     */
    @Test
    void limitsReadsAndWritesSeparately() throws Exception {
        long version = create("a/b");
        HttpResponse<String> response = update("a/b", version, "0");
        int writes = 2;
        while (response.statusCode() == 200 && writes < 50) {
            response = update("a/b", version(response), "more");
            writes++;
        }
        // The last write was rejected.
        assertThat(writes - 1, is(20));
        assertThat(response.statusCode(), is(429));
        assertThat(response.headers().firstValue("Retry-After").isPresent(), is(true));
        HttpResponse<String> read = mClient.send("GET", "/v1/objects/a/b", "");
        assertThat(read.statusCode(), is(200));
        mClock.advance(Duration.ofMillis(100));
        assertThat(update("a/b", version(read), "later").statusCode(), is(200));
    }

    /** Guards against an outage that also disables the emulator's fault injection interface. */
    @Test
    void outageRefusesCallsUntilCleared() throws Exception {
        create("a/b");
        setFaults("{\"unavailable\":true}");
        assertThat(mClient.send("GET", "/v1/objects/a/b", "").statusCode(), is(503));
        setFaults("{}");
        assertThat(mClient.send("GET", "/v1/objects/a", "").statusCode(), is(200));
    }

    /** Guards against host list changes that are visible without the lag. */
    @Test
    void hostListShowsChangesAfterLag() throws Exception {
        String hosts = "[{\"name\":\"engine-1\",\"state\":\"live\"}]";
        assertThat(mClient.send("PUT", "/emulator/hosts", hosts).statusCode(), is(204));
        assertThat(mClient.send("GET", "/v1/hosts", "").body(), equalTo("[]"));
        mClock.advance(Duration.ofSeconds(1));
        assertThat(mClient.send("GET", "/v1/hosts", "").body(), equalTo(hosts));
    }
}
