package org.sesamedeck.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamedeck.emulator.deployment.DeploymentHost;
import org.sesamedeck.emulator.deployment.HostKind;
import org.sesamedeck.emulator.deployment.ManagedProcess;

/** Tests invariants 2, 4 and 8: streams whose entry or engine is killed or stopped. */
final class StreamFaultTest {
    private static final int STREAMS = 6;
    private static final int TOKENS = 300;
    // Engines slowed by this factor keep the streams open until the test ends the fault.
    private static final String SLOW_ENGINE_FAULTS = "{\"slowFactor\":30}";

    private static Fleet sFleet;

    @BeforeAll
    static void startFleet() throws Exception {
        sFleet = Fleet.start("streams", 3, 3, 1);
    }

    @AfterAll
    static void stopFleet() {
        if (sFleet != null) {
            sFleet.close();
        }
    }

    private static List<StreamCaller> streams(String name, int entry, int count, int tokens)
            throws Exception {
        List<StreamCaller> streams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            streams.add(StreamCaller.start(sFleet, entry, name + "-" + i, tokens));
        }
        sFleet.await(
                "all streams have started",
                () -> streams.stream().allMatch(stream -> stream.receivedEvents() >= 5));
        return streams;
    }

    private static void setEngineFaults(String faults) throws Exception {
        for (DeploymentHost engine : sFleet.deployment().hosts(HostKind.ENGINE)) {
            sFleet.deployment().setFaults(engine.name(), faults);
        }
    }

    /** Guards against streams that lose, repeat or mix up text when their entry is killed. */
    @Test
    void callersResumeAtAnotherEntryAfterAKill() throws Exception {
        setEngineFaults("{\"slowFactor\":4}");
        List<StreamCaller> streams = streams("killed entry", 0, STREAMS, TOKENS);
        sFleet.kill("entry-1");
        setEngineFaults("{}");
        for (StreamCaller stream : streams) {
            assertThat(stream.problem(), equalTo(""));
            assertThat("the kill interrupted the stream", stream.failedAttempts(), greaterThan(0));
        }
        sFleet.deployment().start("entry-1");
        sFleet.awaitReady("entry-1");
    }

    /** Guards against responses that end or repeat text when their engine is killed. */
    @Test
    void streamsContinueOnAnotherEngineAfterAKill() throws Exception {
        setEngineFaults("{\"slowFactor\":4}");
        List<StreamCaller> streams = new ArrayList<>();
        for (int entry = 0; entry < 3; entry++) {
            streams.addAll(streams("killed engine " + entry, entry, STREAMS, TOKENS));
        }
        String killedEngine = busiestEngine();
        sFleet.kill(killedEngine);
        clearFaultsOfOthers(killedEngine);
        for (StreamCaller stream : streams) {
            assertThat(stream.problem(), equalTo(""));
            assertThat("callers see no interruption", stream.failedAttempts(), is(0));
        }
        sFleet.deployment().start(killedEngine);
        sFleet.awaitReady(killedEngine);
    }

    private static String busiestEngine() throws Exception {
        String busiest = "";
        int mostStreams = 0;
        for (DeploymentHost engine : sFleet.deployment().hosts(HostKind.ENGINE)) {
            int openStreams = 0;
            for (JsonNode run : sFleet.fetchJson(engine.name(), "/emulator/ledger").path("runs")) {
                openStreams += run.path("state").asText().equals("DECODE") ? 1 : 0;
            }
            if (openStreams > mostStreams) {
                mostStreams = openStreams;
                busiest = engine.name();
            }
        }
        assertThat("an engine runs streams", mostStreams, greaterThan(0));
        return busiest;
    }

    private static void clearFaultsOfOthers(String killedEngine) throws Exception {
        for (DeploymentHost engine : sFleet.deployment().hosts(HostKind.ENGINE)) {
            if (!engine.name().equals(killedEngine)) {
                sFleet.deployment().setFaults(engine.name(), "{}");
            }
        }
    }

    /**
     * Guards against a graceful stop that truncates a stream, accepts new work, never ends, or is
     * cut short by a second SIGTERM.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void stoppingEntryFinishesItsStreams(boolean isPlatformDown) throws Exception {
        sFleet.setPlatformFaults("{\"unavailable\":" + isPlatformDown + "}");
        setEngineFaults(SLOW_ENGINE_FAULTS);
        List<StreamCaller> streams = streams("stopped " + isPlatformDown, 1, STREAMS, 80);
        ManagedProcess entry = sFleet.deployment().process("entry-2");
        long logged = Files.size(entry.log());
        entry.terminate();
        sFleet.await(
                "new requests are refused as not executed",
                () -> {
                    CallerClient.Response response = callService(1);
                    return response.isConnectionRefused()
                            || response.error().path("name").asText().equals("STOPPING")
                                    && response.isNotExecuted();
                });
        entry.terminate();
        String waiting = "still stopping; waiting for " + STREAMS + " items";
        sFleet.await(
                "the second signal is logged",
                () -> Files.readString(entry.log()).substring((int) logged).contains(waiting));
        assertThat(entry.isAlive(), is(true));
        setEngineFaults("{}");
        for (StreamCaller stream : streams) {
            assertThat(stream.problem(), equalTo(""));
            assertThat(stream.failedAttempts(), is(0));
        }
        assertThat(entry.awaitExit(Fleet.TIMEOUT), is(true));
        assertThat(entry.exitStatus(), is(0));
        assertThat(Files.readString(entry.log()), containsString("stopped"));
        sFleet.setPlatformFaults("{}");
        sFleet.deployment().start("entry-2");
        sFleet.awaitReady("entry-2");
    }

    private static CallerClient.Response callService(int entry) throws InterruptedException {
        return new CallerClient()
                .post(
                        sFleet.entries().get(entry),
                        "/services/" + sFleet.deployment().plan().plainService() + "/notes",
                        sFleet.key(),
                        "{}",
                        Duration.ofSeconds(10),
                        Map.of());
    }
}
