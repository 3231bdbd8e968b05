package org.sesamedeck.emulator.service;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.TestClient;
import org.sesamedeck.emulator.http.Json;
import org.sesamedeck.emulator.response.ServiceResponse;

/** Tests the service emulator, whose ledger the system's at-most-once tests rely on. */
final class ServiceEmulatorTest {
    private static final String BODY = "{\"operation\":\"visit-1\"}";

    private final ServiceEmulator mService =
            ServiceEmulator.start(
                    "cookbook-app",
                    HostAddress.of("127.0.0.1", 0),
                    SystemClock.create(),
                    Duration.ZERO,
                    4);
    private final TestClient mClient = TestClient.of(mService.address());

    @AfterEach
    void stop() {
        mService.close();
    }

    private HttpResponse<String> call() throws IOException, InterruptedException {
        return mClient.send("POST", "/visits?x=1", BODY, "X-Request-Id", "r1");
    }

    private JsonNode ledger() throws IOException, InterruptedException {
        return Json.parse(mClient.send("GET", "/emulator/ledger", "").body());
    }

    /** Guards against an executed call that is not recorded under its operation. */
    @Test
    void recordsEachCallWithRequestAndOperation() throws Exception {
        assertThat(
                call().body(), containsString(ServiceResponse.result("POST", "/visits?x=1", BODY)));
        call();
        assertThat(ledger().path("operations").path("visit-1").asInt(), is(2));
        assertThat(ledger().path("runs").path(0).path("requestId").asText(), equalTo("r1"));
    }

    /** Guards against fault injection that mixes up closing before and after the execution. */
    @Test
    void closeFaultsDecideWhetherCallIsExecuted() throws Exception {
        mClient.send("PUT", "/emulator/faults", "{\"closeBeforeNext\":1}");
        assertThrows(IOException.class, this::call);
        assertThat(ledger().path("total").asInt(), is(0));
        mClient.send("PUT", "/emulator/faults", "{\"closeAfterNext\":1}");
        assertThrows(IOException.class, this::call);
        assertThat(ledger().path("total").asInt(), is(1));
        mClient.send("PUT", "/emulator/faults", "{\"refuseNext\":1}");
        HttpResponse<String> refused = call();
        assertThat(refused.statusCode(), is(503));
        assertThat(refused.headers().firstValue("X-Not-Executed").orElse(""), equalTo("true"));
        assertThat(ledger().path("total").asInt(), is(1));
    }

    /** Guards against a drained service that still accepts calls. */
    @Test
    void drainedServiceRefusesCalls() throws Exception {
        mClient.send("PUT", "/emulator/drain", "{\"draining\":true}");
        assertThat(call().statusCode(), is(503));
        mClient.send("PUT", "/emulator/drain", "{\"draining\":false}");
        assertThat(call().statusCode(), is(200));
    }
}
