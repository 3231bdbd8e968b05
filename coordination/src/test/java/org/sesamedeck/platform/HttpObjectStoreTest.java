package org.sesamedeck.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Guards against wrong result codes for responses and failures, since the handling of lost
 * responses depends on them.
 */
class HttpObjectStoreTest {
    private static final ObjectKey KEY = ObjectKey.of("kind", "a name");
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Test
    void objectIsReadWithItsVersion() throws IOException {
        try (ScriptedServer server =
                        ScriptedServer.respondingWith(
                                "200 OK",
                                "",
                                "{\"kind\":\"kind\",\"name\":\"a name\",\"version\":7,"
                                        + "\"value\":\"gr\u00fcn\"}");
                ObjectStore store = store(server.address())) {
            assertThat(
                    store.get(KEY).join(), is(Optional.of(new StoredObject(KEY, 7, "gr\u00fcn"))));
            assertThat(server.request(), containsString("GET /v1/objects/kind/a%20name "));
        }
    }

    @Test
    void updateNamesTheExpectedVersion() throws IOException {
        try (ScriptedServer server =
                        ScriptedServer.respondingWith("200 OK", "", "{\"version\":8}");
                ObjectStore store = store(server.address())) {
            assertThat(store.update(KEY, 7, "value").join(), is(8L));
            assertThat(server.request(), containsString("If-Match: 7\r\n"));
        }
    }

    @Test
    void creationRequiresAbsence() throws IOException {
        try (ScriptedServer server =
                        ScriptedServer.respondingWith("201 Created", "", "{\"version\":1}");
                ObjectStore store = store(server.address())) {
            assertThat(store.create(KEY, "value").join(), is(1L));
            assertThat(server.request(), containsString("If-None-Match: *\r\n"));
        }
    }

    @Test
    void watchWithoutANewVersionIsEmpty() throws IOException {
        try (ScriptedServer server = ScriptedServer.respondingWith("204 No Content", "", "");
                ObjectStore store = store(server.address())) {
            assertThat(store.watch(KEY, 3, Duration.ofSeconds(2)).join(), is(Optional.empty()));
            assertThat(
                    server.request(),
                    containsString("GET /v1/watch/kind/a%20name?after=3&wait=2 "));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "412 Precondition Failed, VERSION_CONFLICT",
        "404 Not Found, VERSION_CONFLICT",
        "413 Content Too Large, VALUE_TOO_LARGE",
        "503 Service Unavailable, STORE_UNAVAILABLE",
        "500 Internal Server Error, STORE_OUTCOME_UNKNOWN",
        "504 Gateway Timeout, STORE_OUTCOME_UNKNOWN",
        "200 OK, STORE_OUTCOME_UNKNOWN"
    })
    void statusOfAWriteIsMapped(String status, ResultCode code) throws IOException {
        // The last row has a success without a version: the write may have taken effect.
        try (ScriptedServer server = ScriptedServer.respondingWith(status, "", "{}");
                ObjectStore store = store(server.address())) {
            assertThat(failure(store.update(KEY, 7, "value")).code(), is(code));
        }
    }

    @Test
    void rateLimitCarriesTheRetryAfterDelay() throws IOException {
        try (ScriptedServer server =
                        ScriptedServer.respondingWith(
                                "429 Too Many Requests", "Retry-After: 3\r\n", "");
                ObjectStore store = store(server.address())) {
            SesamedeckException failure = failure(store.get(KEY));
            assertThat(failure.code(), is(ResultCode.STORE_RATE_LIMITED));
            assertThat(failure.retryAfter(), is(Optional.of(Duration.ofSeconds(3))));
        }
    }

    @Test
    void refusedConnectionMeansThatNothingTookEffect() throws IOException {
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        try (ObjectStore store = store(HostAddress.of("127.0.0.1", port))) {
            assertThat(
                    failure(store.update(KEY, 7, "value")).code(),
                    is(ResultCode.STORE_UNAVAILABLE));
        }
    }

    /**
     * Guards against a write that the server received being reported as without effect or retried.
     */
    @Test
    void writeWithoutResponseHasAnUnknownOutcome() throws IOException {
        try (ScriptedServer server = ScriptedServer.closingAfterRequest();
                ObjectStore store = store(server.address())) {
            assertThat(
                    failure(store.update(KEY, 7, "value")).code(),
                    is(ResultCode.STORE_OUTCOME_UNKNOWN));
            assertThat(server.requests(), is(1));
        }
    }

    @Test
    void readWithoutResponseIsUnavailable() throws IOException {
        try (ScriptedServer server = ScriptedServer.closingAfterRequest();
                ObjectStore store = store(server.address())) {
            assertThat(failure(store.get(KEY)).code(), is(ResultCode.STORE_UNAVAILABLE));
        }
    }

    @Test
    void hostsOfUnknownKindsAreIgnored() throws IOException {
        String rows =
                "[{\"name\":\"e1\",\"address\":\"127.0.0.1\",\"port\":80,\"kind\":\"engine\","
                        + "\"service\":\"m\",\"failureDomain\":\"d\",\"region\":\"r\","
                        + "\"state\":\"leaving\"},{\"name\":\"x\",\"kind\":\"other\"}]";
        CallCounter calls = CallCounter.create();
        try (ScriptedServer server = ScriptedServer.respondingWith("200 OK", "", rows);
                HttpHostList hosts = HttpHostList.create(server.address(), TIMEOUT, calls)) {
            List<HostEntry> read = hosts.read().join();
            assertThat(
                    read,
                    contains(
                            new HostEntry(
                                    "e1",
                                    HostAddress.of("127.0.0.1", 80),
                                    HostKind.ENGINE,
                                    "m",
                                    "d",
                                    "r",
                                    true)));
            assertThat(calls.calls(CallKind.HOSTS), is(1L));
        }
    }

    private static ObjectStore store(HostAddress address) {
        return HttpObjectStore.create(address, TIMEOUT, CallCounter.create());
    }

    private static SesamedeckException failure(CompletableFuture<?> call) {
        return SesamedeckException.from(assertThrows(CompletionException.class, call::join));
    }
}
