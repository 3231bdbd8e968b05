package org.sesamedeck.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

class ConfigurationDisseminationTest {
    private static final Duration STALENESS_BOUND = Duration.ofSeconds(6);

    private static Simulation started(long seed, int count) {
        Simulation simulation = new Simulation(seed);
        simulation.platform().propose(1);
        simulation.start(count);
        simulation.run(Duration.ofSeconds(3));
        simulation.node(0).acquireLease();
        simulation.run(Duration.ofSeconds(5));
        return simulation;
    }

    private static void assertAllAt(Simulation simulation, long version) {
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(node.name(), node.version(), is(version));
            assertThat(
                    node.name() + ": " + node.node().state().admission().reason(),
                    node.isAdmitting(),
                    is(true));
        }
    }

    /**
     * Guards against a change that does not reach every node in time, for several numbers of nodes
     * and with 5 % of the messages lost.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 4, 8, 16, 33, 64})
    void changeIsInForceOnAllNodesWithinTheBound(int count) {
        Simulation simulation = started(count, count);
        assertAllAt(simulation, 1);
        simulation.setLoss(0.05);
        simulation.platform().propose(2);
        simulation.run(STALENESS_BOUND);
        assertAllAt(simulation, 2);
    }

    /** Guards against permanent refusals of client accounts before their list was accepted. */
    @Test
    void nodesWithoutAnAcceptedConfigurationDoNotAdmit() {
        Simulation simulation = new Simulation(5);
        simulation.start(4);
        simulation.run(Duration.ofSeconds(20));
        assertThat(simulation.node(0).version(), is(0L));
        assertThat(simulation.node(0).isAdmitting(), is(false));
        simulation.platform().propose(1);
        simulation.node(0).acquireLease();
        simulation.run(STALENESS_BOUND);
        assertAllAt(simulation, 1);
    }

    /**
     * Guards against a minority that admits with a replaced version: while the majority with the
     * platform accepts a new one, the others stop admitting, and recover after the partition
     * (partition case 1).
     */
    @Test
    void majorityWithPlatformAcceptsAndMinorityWithoutStops() {
        Simulation simulation = started(1, 8);
        simulation.isolate(Set.of(0, 1, 2, 3, 4), true);
        simulation.platform().propose(2);
        simulation.run(STALENESS_BOUND);
        assertThat(simulation.node(4).version(), is(2L));
        assertThat(simulation.node(4).isAdmitting(), is(true));
        assertThat(simulation.node(6).isAdmitting(), is(false));
        assertThat(
                simulation.node(6).node().state().admission().reason(),
                containsString("last confirmed"));
        simulation.heal();
        simulation.run(STALENESS_BOUND);
        assertAllAt(simulation, 2);
    }

    /**
     * Guards against a minority with the platform that accepts a version: it cannot, so the
     * majority without the platform may keep admitting (partition cases 2 and 3).
     */
    @Test
    void majorityWithoutPlatformServesAndMinorityWithPlatformCannotAccept() {
        Simulation simulation = started(2, 8);
        simulation.isolate(Set.of(0, 1, 2), true);
        simulation.platform().propose(2);
        simulation.run(Duration.ofSeconds(20));
        assertThat(simulation.platform().accepted(), is(1L));
        assertThat(
                simulation.node(0).acceptor().problem().orElse(""),
                containsString("majority of nodes"));
        assertAllAt(simulation, 1);
        simulation.heal();
        simulation.run(Duration.ofSeconds(10));
        assertAllAt(simulation, 2);
    }

    /**
     * Guards against a half of the nodes that admits without the platform: neither half is a
     * majority, so both stop (partition case 4).
     */
    @Test
    void halvesWithoutPlatformStopWithinTheConfirmationLimit() {
        Simulation simulation = started(3, 8);
        simulation.platform().setDown(true);
        simulation.isolate(Set.of(0, 1, 2, 3), true);
        simulation.run(ConfigurationState.CONFIRMATION_LIMIT.plusMillis(100));
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(node.name(), node.isAdmitting(), is(false));
        }
    }

    /** Guards against an outage of the platform alone stopping admission. */
    @Test
    void nodesAdmitThroughoutAnOutageOfThePlatform() {
        Simulation simulation = started(4, 8);
        simulation.platform().setDown(true);
        for (int i = 0; i < 60; i++) {
            simulation.run(Duration.ofSeconds(1));
            assertAllAt(simulation, 1);
        }
    }

    /** Guards against a majority that keeps admitting while a prepared version may be in force. */
    @Test
    void preparedVersionStopsAdmissionUntilItsOutcomeIsKnown() {
        Simulation simulation = started(5, 5);
        simulation.run(ConfigurationState.ASSUMED_PREPARED_PERIOD);
        for (SimulatedNode node : simulation.nodes()) {
            node.node().state().prepare(2);
        }
        simulation.platform().setDown(true);
        simulation.run(STALENESS_BOUND);
        assertThat(simulation.node(1).isAdmitting(), is(false));
        simulation.platform().setDown(false);
        simulation.platform().propose(2);
        simulation.run(STALENESS_BOUND);
        assertAllAt(simulation, 2);
    }

    /** Guards against a second version for one candidate when the response to the write is lost. */
    @Test
    void lostResponseToTheAcceptingWriteIsResolvedByReading() {
        Simulation simulation = started(6, 5);
        simulation.platform().dropResponses(1);
        simulation.platform().propose(2);
        simulation.run(STALENESS_BOUND);
        assertThat(simulation.platform().accepted(), is(2L));
        assertAllAt(simulation, 2);
    }

    /** Guards against relays that need every event of a watch. */
    @Test
    void missedEventsOnlyDelayAVersion() {
        Simulation simulation = started(7, 8);
        simulation.platform().setMissedEvents(0.5);
        for (int share = 2; share <= 6; share++) {
            simulation.platform().propose(share);
            simulation.run(Duration.ofSeconds(13));
            assertThat(simulation.platform().accepted(), greaterThanOrEqualTo((long) share - 1));
        }
        simulation.platform().setMissedEvents(0);
        simulation.run(STALENESS_BOUND);
        assertAllAt(simulation, 6);
    }

    /** Guards against an invalid candidate replacing the version in force. */
    @Test
    void invalidCandidateIsReportedAndNeverAccepted() {
        Simulation simulation = started(8, 3);
        simulation
                .platform()
                .put(
                        ConfigurationAcceptor.CANDIDATE_LISTS,
                        new CandidateLists("[plan a]\n", "", "operator", "").toJson());
        simulation.run(STALENESS_BOUND);
        assertAllAt(simulation, 1);
        assertThat(simulation.node(0).acceptor().problem().orElse(""), containsString("plans.ini"));
    }

    /**
     * Guards against a current and a stale holder accepting different candidates as one version.
     */
    @Test
    void concurrentHoldersAndOperatorsProduceConsecutiveVersions() {
        Simulation simulation = started(9, 5);
        simulation.node(0).pause();
        simulation.platform().propose(2);
        simulation.node(1).acquireLease();
        simulation.run(Duration.ofSeconds(3));
        simulation.node(0).resume();
        for (int share = 3; share <= 12; share++) {
            simulation.platform().propose(share);
            simulation.run(Duration.ofMillis(37));
        }
        simulation.run(STALENESS_BOUND);
        AcceptedConfiguration accepted =
                AcceptedConfiguration.parse(
                        simulation.platform().read(PlatformRelay.ACCEPTED).orElseThrow().value());
        assertThat(accepted.plans(), containsString("share = 12"));
        assertAllAt(simulation, accepted.version());
        List<Long> versions = accepted.audit().stream().map(AcceptedChange::version).toList();
        for (int i = 1; i < versions.size(); i++) {
            assertThat(versions.get(i - 1), is(versions.get(i) + 1));
        }
    }

    /** Guards against a start from a lagging peer: a node admits only after a majority replied. */
    @Test
    void startDuringAnOutageRecoversTheHighestVersionOfAMajority() {
        Simulation simulation = started(10, 5);
        simulation.isolate(Set.of(1), false);
        simulation.platform().propose(2);
        simulation.run(STALENESS_BOUND);
        simulation.heal();
        simulation.platform().setDown(true);
        for (int other = 0; other < 5; other++) {
            if (other != 1 && other != 4) {
                simulation.cutBoth(Simulation.nameOf(4), Simulation.nameOf(other));
                simulation.cutBoth(Simulation.nameOf(1), Simulation.nameOf(other));
            }
        }
        SimulatedNode starting = simulation.restart(4);
        simulation.run(Duration.ofSeconds(5));
        assertThat(starting.isAdmitting(), is(false));
        simulation.heal();
        simulation.run(STALENESS_BOUND);
        assertThat(starting.version(), is(2L));
        assertThat(starting.isAdmitting(), is(true));
    }

    /** Guards against an acknowledgement by a process that lost its earlier ones in a restart. */
    @Test
    void startingNodeDoesNotAcknowledge() {
        Simulation simulation = new Simulation(11);
        simulation.platform().setDown(true);
        simulation.start(3);
        SesamedeckException failure =
                org.junit.jupiter.api.Assertions.assertThrows(
                        SesamedeckException.class,
                        () -> simulation.node(0).node().state().prepare(1));
        assertThat(failure.code(), is(ResultCode.UNAVAILABLE));
    }

    /** Guards against platform calls that grow with the number of nodes instead of relays. */
    @Test
    void onlyRelaysReadThePlatform() {
        Simulation simulation = started(12, 48);
        simulation.run(Duration.ofSeconds(5));
        long before = simulation.platform().calls();
        simulation.run(Duration.ofSeconds(20));
        long relays = simulation.nodes().stream().filter(node -> node.node().isRelay()).count();
        assertThat(relays, is(6L));
        double callsPerSecond = (simulation.platform().calls() - before) / 20.0;
        assertThat(callsPerSecond, lessThan(2.5 * relays));
    }
}
