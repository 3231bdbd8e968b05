package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class PeerLoadsTest {
    private final ManualClock mClock = ManualClock.create();
    private final PeerLoads mLoads = PeerLoads.create(mClock);

    private static List<EndpointLoad> load(int running) {
        return List.of(new EndpointLoad("engine", running * 1_000L, running));
    }

    /** Guards against counting a process twice or not at all. */
    @Test
    void latestReportsOfAllProcessesAreSummed() {
        mLoads.receive("a", 1, 1, load(3));
        mLoads.receive("b", 1, 1, load(4));
        mLoads.receive("a", 1, 2, load(1));
        assertThat(mLoads.totals().get("engine").running(), is(5));
    }

    /**
     * Guards against applying a datagram that arrives out of order, and against ignoring a
     * restarted process.
     */
    @Test
    void outOfOrderReportsAreIgnoredButARestartIsNot() {
        mLoads.receive("a", 1, 9, load(3));
        mLoads.receive("a", 1, 8, load(7));
        assertThat(mLoads.totals().get("engine").running(), is(3));
        mLoads.receive("a", 2, 1, load(1));
        assertThat(mLoads.totals().get("engine").running(), is(1));
    }

    /** Guards against counting the load of a process that has been killed. */
    @Test
    void reportsOfASilentProcessExpire() {
        mLoads.receive("a", 1, 1, load(3));
        mClock.advance(Duration.ofSeconds(2));
        assertThat(mLoads.totals(), anEmptyMap());
        assertThat(mLoads.peers(), is(0));
    }
}
