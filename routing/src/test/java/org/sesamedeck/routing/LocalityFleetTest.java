package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays loads on six failure domains of three regions whose processes see each other 0.2 to 0.6 s
 * late, with and without weighing of domains.
 */
class LocalityFleetTest {
    private static final long SEED = 7;

    private static LocalityFleet run(
            int processes, boolean weighsDomains, int seconds, LocalityFleet.Load load) {
        LocalityFleet fleet = new LocalityFleet(processes, weighsDomains, SEED);
        fleet.run(Duration.ofSeconds(seconds), load);
        return fleet;
    }

    /** Guards against requests that leave, or wait for few local endpoints, without need. */
    @ParameterizedTest
    @ValueSource(ints = {8, 83})
    void calmLoadStaysInItsDomain(int processes) {
        LocalityFleet before = run(processes, false, 20, (domain, millis) -> 0.6);
        LocalityFleet fleet = run(processes, true, 20, (domain, millis) -> 0.6);
        assertThat(fleet.toString(), fleet.partToRegions(), lessThan(0.05));
        assertThat(fleet.toString(), fleet.partToDomains(), lessThan(0.05));
        assertThat(fleet.toString(), fleet.onTime(), greaterThan(before.onTime() - 0.01));
    }

    /**
     * Guards against a domain that keeps a burst of 2.5 times its capacity while others have room,
     * and against a share that stays after the burst. Kept at home, 0.4 of the burst could be
     * served.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 83})
    void burstOfOneDomainLeavesAndReturns(int processes) {
        LocalityFleet.Load load =
                (domain, millis) -> domain == 0 && millis > 3_000 && millis < 13_000 ? 2.5 : 0.6;
        LocalityFleet before = run(processes, false, 20, load);
        LocalityFleet fleet = run(processes, true, 20, load);
        assertThat(fleet.toString(), fleet.onTime(), greaterThan(before.onTime()));
        assertThat(fleet.toString(), fleet.onTime(0), greaterThan(0.9));
        assertThat(fleet.toString(), fleet.maxShare(), greaterThan(0.6));
        assertThat(fleet.toString(), fleet.lastShare(), lessThan(0.1));
        assertThat(fleet.toString(), fleet.partToRegions(), lessThan(0.3));
    }

    /**
     * Guards against callers of a domain without endpoints who are not served in time elsewhere.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 83})
    void lostEndpointsAreReplacedByNeighbors(int processes) {
        LocalityFleet fleet = new LocalityFleet(processes, true, SEED);
        fleet.run(Duration.ofSeconds(5), (domain, millis) -> 0.6);
        fleet.loseEngines(0);
        fleet.run(Duration.ofSeconds(15), (domain, millis) -> 0.6);
        assertThat(fleet.toString(), fleet.onTime(0), greaterThan(0.95));
        assertThat(fleet.toString(), fleet.onTime(), greaterThan(0.95));
    }

    /**
     * Guards against domains that swap requests, or push neighbors over, when all have more than
     * they can do. Without weighing, two thirds of the requests go to another region.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 83})
    void fullDomainsDoNotSwapLoad(int processes) {
        LocalityFleet before = run(processes, false, 15, (domain, millis) -> 1.2);
        LocalityFleet fleet = run(processes, true, 15, (domain, millis) -> 1.2);
        assertThat(fleet.toString(), fleet.swappedPart(), lessThan(before.swappedPart() / 4));
        assertThat(fleet.toString(), fleet.partToRegions(), lessThan(0.2));
        assertThat(fleet.toString(), fleet.onTime(), greaterThan(before.onTime() - 0.02));
    }

    /**
     * Guards against a share that oscillates by itself: the load of each domain turns 7 times
     * within 20 s, and at each turn the share may turn twice and overshoot once. Guards also
     * against load that is sent away so late that neighbors were idle meanwhile.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 83})
    void loadByTurnsCausesNoOscillation(int processes) {
        LocalityFleet.Load load =
                (domain, millis) -> (millis / 3_000 + domain) % 2 == 0 ? 1.4 : 0.4;
        LocalityFleet before = run(processes, false, 20, load);
        LocalityFleet fleet = run(processes, true, 20, load);
        assertThat(fleet.toString(), fleet.shareTurns(), lessThan(22));
        assertThat(fleet.toString(), fleet.swappedPart(), lessThan(0.1));
        assertThat(fleet.toString(), fleet.onTime(), greaterThan(before.onTime()));
    }

    /**
     * Guards against requests that are kept at home while nothing is known of the other processes.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 83})
    void unknownLoadsOfPeersLeaveTheChoiceOpen(int processes) {
        LocalityFleet.Load load =
                (domain, millis) -> domain == 0 && millis > 3_000 && millis < 13_000 ? 2.5 : 0.6;
        LocalityFleet before = new LocalityFleet(processes, false, SEED);
        before.stopExchange();
        before.run(Duration.ofSeconds(20), load);
        LocalityFleet fleet = new LocalityFleet(processes, true, SEED);
        fleet.stopExchange();
        fleet.run(Duration.ofSeconds(20), load);
        assertThat(fleet.toString(), fleet.maxShare(), equalTo(0.0));
        assertThat(fleet.toString(), fleet.onTime(), greaterThan(before.onTime() - 0.01));
    }

    /**
     * Guards against a loss of the exchange during a burst: the share from old loads must not stay
     * in force.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 83})
    void exchangeThatEndsDuringBurstKeepsCallersServed(int processes) {
        LocalityFleet.Load load = (domain, millis) -> domain == 0 && millis > 3_000 ? 2.5 : 0.6;
        LocalityFleet fleet = new LocalityFleet(processes, true, SEED);
        fleet.run(Duration.ofSeconds(5), load);
        fleet.stopExchange();
        fleet.run(Duration.ofSeconds(15), load);
        assertThat(fleet.toString(), fleet.onTime(), greaterThan(0.85));
        fleet.forEachRouter(
                router -> assertThat(router.outflows().get().current().size(), equalTo(0)));
    }
}
