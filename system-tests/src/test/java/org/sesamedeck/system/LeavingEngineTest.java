package org.sesamedeck.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.time.Duration;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sesamedeck.emulator.deployment.AdminClient;
import org.sesamedeck.emulator.deployment.DeploymentHost;
import org.sesamedeck.emulator.deployment.HostKind;

/** Tests invariant 7: 3 s after an engine starts to leave, no entry sends it new requests. */
final class LeavingEngineTest {
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(3);
    private static final int ROUNDS = 15;

    /** Default number of engine groups, each with one lease. */
    private static final long GROUP_LEASES = 8;

    private static Fleet sFleet;
    private static ServiceProbe sProbe;

    @BeforeAll
    static void startFleet() throws Exception {
        sFleet = Fleet.start("leaving", 3, 3, 1);
        sProbe = ServiceProbe.of(sFleet);
    }

    @AfterAll
    static void stopFleet() {
        if (sFleet != null) {
            sFleet.close();
        }
    }

    private static long attempts(String engine) throws Exception {
        return sFleet.fetchJson(engine, "/emulator/ledger").path("attempts").asLong();
    }

    private static void awaitWork(String engine) throws Exception {
        long before = attempts(engine);
        sFleet.await(
                engine + " gets work",
                () -> {
                    sProbe.requestCompletions("work for " + engine + " after " + before, 2);
                    return attempts(engine) > before;
                });
    }

    /** Sends requests until the limit has passed, then counts the requests at the engine. */
    private static void assertNoWorkAfterPropagation(String engine, long sinceNanos)
            throws Exception {
        while (sFleet.nanoTime() - sinceNanos < PROPAGATION_LIMIT.toNanos()) {
            assertThat(sProbe.requestCompletions("until the bound", 1), empty());
        }
        long before = attempts(engine);
        assertThat(sProbe.requestCompletions("after the bound", ROUNDS), empty());
        assertThat("requests that reached " + engine, attempts(engine) - before, equalTo(0L));
    }

    /** Guards against entries that learn late or never that an engine is leaving. */
    @Test
    void engineMarkedLeavingGetsNoNewWork() throws Exception {
        awaitWork("engine-2");
        sFleet.deployment().setLeaving("engine-2", true);
        sFleet.await("the platform shows the engine as leaving", () -> isShownLeaving("engine-2"));
        assertNoWorkAfterPropagation("engine-2", sFleet.nanoTime());
        sFleet.deployment().setLeaving("engine-2", false);
        awaitWork("engine-2");
    }

    private static boolean isShownLeaving(String engine) throws Exception {
        for (JsonNode host : sFleet.fetchJson("platform", "/v1/hosts")) {
            if (host.path("name").asText().equals(engine)) {
                return host.path("state").asText().equals("leaving");
            }
        }
        return false;
    }

    /** Guards against a drain that is detected only through the platform or a lease holder. */
    @Test
    void drainingEngineGetsNoNewWorkWithoutThePlatform() throws Exception {
        awaitWork("engine-3");
        sFleet.setPlatformFaults("{\"unavailable\":true}");
        // Without leases, no node polls the state of the engine on behalf of its group.
        sFleet.await("all group leases have ended", () -> lostGroupLeases() >= GROUP_LEASES);
        sendCommand("DRAIN");
        assertNoWorkAfterPropagation("engine-3", sFleet.nanoTime());
        sendCommand("UNDRAIN");
        sFleet.setPlatformFaults("{}");
        awaitWork("engine-3");
    }

    private static long lostGroupLeases() throws Exception {
        long lostLeases = 0;
        for (DeploymentHost node : sFleet.deployment().hosts(HostKind.NODE)) {
            try (Stream<String> lines =
                    Files.lines(sFleet.deployment().process(node.name()).log())) {
                lostLeases += lines.filter(line -> line.contains("\"lost engine-group/")).count();
            }
        }
        return lostLeases;
    }

    /** Sends an operator command to engine-3, which ignores fencing numbers. */
    private static void sendCommand(String kind) throws Exception {
        String body = "{\"id\":\"operator-" + kind + "\",\"kind\":\"" + kind + "\"}";
        int status =
                // Engines reject commands on connections older than 2 s, so a new client is used.
                AdminClient.create()
                        .send(
                                "POST",
                                sFleet.deployment().host("engine-3").address(),
                                "/v1/commands",
                                body)
                        .statusCode();
        assertThat(status, greaterThan(199));
        boolean isDraining = sFleet.fetchJson("engine-3", "/v1/state").path("draining").asBoolean();
        assertThat(isDraining, equalTo(kind.equals("DRAIN")));
    }
}
