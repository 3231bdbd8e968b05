package org.sesamedeck.routing.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.PhaseLoad;

class ServerNeedEstimatorTest {
    private static final Duration TARGET_LATENCY = Duration.ofMillis(250);

    private final ManualClock mClock = ManualClock.create();
    private final ServerNeedEstimator mEstimator = ServerNeedEstimator.create(mClock);

    private static ServerCounts servers(int ordinary, int reclaimable) {
        List<EndpointDescription> servers = new ArrayList<>();
        for (int i = 0; i < ordinary + reclaimable; i++) {
            servers.add(
                    new EndpointDescription(
                            "server-" + i,
                            HostAddress.of("10.0.0.1", 80),
                            "models",
                            "a",
                            "east",
                            true,
                            false,
                            false,
                            i % 3 == 0 ? EndpointRole.PREFILL : EndpointRole.DECODE,
                            Set.of(),
                            i >= ordinary,
                            Optional.empty(),
                            Optional.empty()));
        }
        return ServerCounts.of(servers, "models");
    }

    private ServerNeed need() {
        return mEstimator.need(SimulatedServers.TERMS);
    }

    private void load(int seconds, PhaseLoad load) {
        load(seconds, load, 1);
    }

    private void load(int seconds, PhaseLoad load, int processes) {
        for (int i = 0; i < 5 * seconds; i++) {
            mClock.advance(Duration.ofMillis(200));
            mEstimator.observeProcesses(processes);
            mEstimator.observeLoad(load, SimulatedServers.TERMS, servers(18, 0), TARGET_LATENCY);
        }
    }

    /** Guards against taking the servers that register first for the whole fleet. */
    @Test
    void serversThatRegisterLaterCount() {
        for (int count : new int[] {1, 3, 13, 18}) {
            mEstimator.observeServers(servers(count, 0));
            assertThat(mEstimator.isKnown(), is(false));
            mClock.advance(Duration.ofMillis(1_500));
        }
        assertThat(mEstimator.isKnown(), is(true));
        assertThat(need().total(), is(18));
        mEstimator.observeServers(servers(30, 0));
        assertThat(need().total(), is(30));
    }

    /** Guards against a need that grows with the replacements that were ordered for it. */
    @Test
    void replacementsDoNotRaiseTheNeed() {
        mEstimator.observeServers(servers(18, 0));
        mClock.advance(Duration.ofSeconds(6));
        mEstimator.observeServers(servers(18, 18));
        mEstimator.observeServers(servers(2, 16));
        assertThat(need().total(), is(18));
        assertThat(need().isIdle(), is(true));
    }

    /** Guards against ordering as many servers as there were first when samples are lost. */
    @Test
    void lostSamplesKeepTheNeed() {
        mEstimator.observeServers(servers(30, 0));
        load(20, new PhaseLoad(2, 0, 40, 32));
        int known = need().total();
        mClock.advance(Duration.ofSeconds(5));
        assertThat(need().isLoadKnown(), is(false));
        assertThat(need().total(), is(known));
    }

    /** Guards against long waits of prompts that go unseen while engines are half idle. */
    @Test
    void longWaitsRaiseTheNeedForPrompts() {
        load(20, new PhaseLoad(2, 0, 40, 32));
        int withoutWait = need().prefill();
        load(5, new PhaseLoad(2, Duration.ofMillis(200).toNanos(), 40, 32));
        assertThat(need().isLoadKnown(), is(true));
        assertThat(withoutWait, is(4));
        assertThat(need().prefill(), greaterThanOrEqualTo(8));
        assertThat(need().prefill(), lessThan(18));
    }

    /** Guards against too few decode engines where the token interval allows fewer responses. */
    @Test
    void longTokenIntervalsRaiseTheNeedForResponses() {
        load(20, new PhaseLoad(2, 0, 60, 32));
        int fast = need().decode();
        load(12, new PhaseLoad(2, 0, 60, 10));
        assertThat(need().decode(), greaterThanOrEqualTo(2 * fast));
    }

    /** Guards against giving servers back for the load of a part of the fleet. */
    @Test
    void loadOfAPartOfTheFleetLowersNothing() {
        mEstimator.observeServers(servers(60, 0));
        load(20, new PhaseLoad(12, 0, 300, 32), 83);
        int known = need().total();
        load(300, new PhaseLoad(4, 0, 100, 32), 28);
        assertThat(need().isLoadKnown(), is(false));
        assertThat(need().total(), is(known));
    }

    /** Guards against never giving back again once some processes have ended for good. */
    @Test
    void processesThatEndedForGoodAreForgotten() {
        load(20, new PhaseLoad(12, 0, 300, 32), 83);
        int known = need().total();
        load(660, new PhaseLoad(4, 0, 100, 32), 50);
        assertThat(need().isLoadKnown(), is(true));
        assertThat(need().total(), lessThan(known));
    }

    /** Guards against a need that is held whenever a few processes restart. */
    @Test
    void restartOfAFewProcessesIsNoPartialLoad() {
        load(20, new PhaseLoad(12, 0, 300, 32), 83);
        load(20, new PhaseLoad(4, 0, 100, 32), 78);
        assertThat(need().isLoadKnown(), is(true));
    }
}
