package org.sesamedeck.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sesamedeck.emulator.http.Json;

/**
 * Tests invariant 9: an accepted configuration is in force within 6 s and is never reverted. Faults
 * affect entry 3 and its control process, whose connection to the platform passes through a proxy.
 */
final class ConfigurationFaultTest {
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(6);
    private static final List<String> NODES = List.of("node-1", "node-2", "node-3");
    private static final int FAULTY_ENTRY = 2;

    private static Fleet sFleet;
    private static FaultyTcpProxy sPlatformProxy;
    private static ServiceProbe sProbe;
    private static boolean sMayUseService = true;

    @BeforeAll
    static void startFleet() throws Exception {
        sFleet = Fleet.create("configuration", 3, 2, 1);
        sPlatformProxy = FaultyTcpProxy.to(sFleet.deployment().platform());
        sFleet.deployment()
                .override("node-3", "platform", "address", sPlatformProxy.address().toString());
        sFleet.start();
        sProbe = ServiceProbe.of(sFleet);
    }

    @AfterAll
    static void stopFleet() throws Exception {
        sFleet.close();
        sPlatformProxy.close();
    }

    /**
     * Ends the faults of a test that failed midway and grants the service again; the tests share
     * one fleet, and what is left over would fail the next one too.
     */
    @AfterEach
    void endFaults() throws Exception {
        sFleet.deployment().process("node-3").resume();
        sPlatformProxy.endFaults();
        sFleet.setPlatformFaults("{}");
        if (!sMayUseService) {
            apply(true);
        }
    }

    private static long acceptedVersion() throws Exception {
        JsonNode object = sFleet.fetchJson("platform", "/v1/objects/configuration/accepted");
        return Json.parse(object.path("value").asText()).path("version").asLong();
    }

    /** Grants or withdraws the plain service for the first plan; returns the accepted version. */
    private static long apply(boolean mayUseService) throws Exception {
        long before = acceptedVersion();
        JsonNode object = sFleet.fetchJson("platform", "/v1/objects/configuration/lists");
        String entitlements = sFleet.deployment().plan().entitlementsText();
        String service =
                "services = " + sFleet.deployment().plan().plainService() + System.lineSeparator();
        int first = entitlements.indexOf(service);
        assertThat("the sample lists name the service", first, greaterThan(0));
        String denied =
                entitlements.substring(0, first) + entitlements.substring(first + service.length());
        ObjectNode lists =
                Json.object()
                        .put("plans", sFleet.deployment().plan().plansText())
                        .put("entitlements", mayUseService ? entitlements : denied)
                        .put("author", "test")
                        .put("note", "after version " + before);
        sFleet.client()
                .put(
                        sFleet.deployment().platform(),
                        "/v1/objects/configuration/lists",
                        lists.toString(),
                        "If-Match",
                        object.path("version").asText());
        sMayUseService = mayUseService;
        sFleet.await("the lists are accepted", () -> acceptedVersion() > before);
        return acceptedVersion();
    }

    /** Waits until the given nodes have the version in force; returns the time in nanoseconds. */
    private static long awaitVersion(long version, List<String> nodes) throws Exception {
        for (String node : nodes) {
            sFleet.await(
                    node + " has version " + version,
                    () -> sFleet.configurationVersion(node) >= version);
        }
        return sFleet.nanoTime();
    }

    private static void assertNotServed(String when) throws Exception {
        CallerClient.Response response = sProbe.call(FAULTY_ENTRY);
        assertThat(
                when + ": " + response,
                response.error().path("name").asText(),
                anyOf(is("NOT_ENTITLED"), is("UNAVAILABLE")));
        assertThat(when, response.isNotExecuted(), is(true));
    }

    private static void awaitServed(int entry) throws Exception {
        sFleet.await("the service is available again", () -> sProbe.call(entry).status() == 200);
    }

    /**
     * Guards against an entry that grants withdrawn access while its control process is frozen or
     * after it is resumed, and against a node whose version decreases.
     */
    @Test
    void frozenNodeNeverAppliesAReplacedConfiguration() throws Exception {
        awaitServed(FAULTY_ENTRY);
        sFleet.deployment().process("node-3").freeze();
        long from = sFleet.nanoTime();
        long version = apply(false);
        long accepted = sFleet.nanoTime();
        long inForce = awaitVersion(version, NODES.subList(0, 2));
        assertThat(inForce - accepted, lessThanOrEqualTo(PROPAGATION_LIMIT.toNanos()));
        assertThat(accepted, greaterThanOrEqualTo(from));
        while (sFleet.nanoTime() - accepted < PROPAGATION_LIMIT.toNanos()) {
            sProbe.call(FAULTY_ENTRY);
        }
        assertNotServed("frozen");
        sFleet.deployment().process("node-3").resume();
        long highest = 0;
        while (highest < version) {
            assertNotServed("resumed");
            long seen = sFleet.configurationVersion("node-3");
            assertThat("version does not decrease", seen, greaterThanOrEqualTo(highest));
            highest = seen;
        }
        assertNotServed("up to date");
        awaitVersion(apply(true), NODES);
        awaitServed(FAULTY_ENTRY);
    }

    /**
     * Guards against a node that accepts a configuration only from its own poll of the platform.
     */
    @Test
    void nodeWithoutThePlatformFollowsItsPeers() throws Exception {
        awaitServed(FAULTY_ENTRY);
        sPlatformProxy.dropData(true, true);
        long version = apply(false);
        long accepted = sFleet.nanoTime();
        long inForce = awaitVersion(version, NODES);
        assertThat(inForce - accepted, lessThanOrEqualTo(PROPAGATION_LIMIT.toNanos()));
        while (sFleet.nanoTime() - accepted < PROPAGATION_LIMIT.toNanos()) {
            sProbe.call(FAULTY_ENTRY);
        }
        assertNotServed("connection drops data");
        long next = apply(true);
        awaitVersion(next, NODES);
        awaitServed(FAULTY_ENTRY);
        sPlatformProxy.endFaults();
        assertThat(sFleet.configurationVersion("node-3"), equalTo(next));
    }

    /**
     * Guards against a restarted process that waits for the platform instead of taking the
     * configuration from its peers.
     */
    @Test
    void processStartsFromItsPeersWhileThePlatformIsDown() throws Exception {
        long version = acceptedVersion();
        sFleet.setPlatformFaults("{\"unavailable\":true}");
        sFleet.killAndStart("node-2");
        sFleet.killAndStart("entry-2");
        sFleet.awaitReady("node-2");
        sFleet.awaitReady("entry-2");
        assertThat(sFleet.configurationVersion("node-2"), equalTo(version));
        awaitServed(1);
        sFleet.setPlatformFaults("{}");
    }

    /**
     * Guards against nodes that use an invented, unconfirmed or older configuration, and against
     * entries that still serve requests after the propagation limit, when all control processes
     * were killed while the platform is unavailable.
     */
    @Test
    void killedControlProcessesNeitherServeNorRevertWithoutThePlatform() throws Exception {
        long version = apply(true);
        awaitVersion(version, NODES);
        sFleet.setPlatformFaults("{\"unavailable\":true}");
        for (String node : NODES) {
            sFleet.kill(node);
        }
        long killed = sFleet.nanoTime();
        for (String node : NODES) {
            sFleet.deployment().start(node);
        }
        while (sFleet.nanoTime() - killed < PROPAGATION_LIMIT.toNanos()) {
            CallerClient.Response response = sProbe.call(0);
            assertThat(
                    "" + response, response.status() == 200 || response.isNotExecuted(), is(true));
        }
        for (int entry = 0; entry < NODES.size(); entry++) {
            CallerClient.Response response = sProbe.call(entry);
            assertThat("" + response, response.error().path("name").asText(), is("UNAVAILABLE"));
            String node = NODES.get(entry);
            sFleet.await(node + " runs", () -> sFleet.configurationVersion(node) >= 0);
            assertThat(sFleet.configurationVersion(node), is(0L));
            assertThat(sFleet.isReady(node), is(false));
        }
        sFleet.setPlatformFaults("{}");
        for (int entry = 0; entry < NODES.size(); entry++) {
            String node = NODES.get(entry);
            sFleet.awaitReady(node);
            assertThat(sFleet.configurationVersion(node), greaterThanOrEqualTo(version));
            awaitServed(entry);
        }
    }
}
