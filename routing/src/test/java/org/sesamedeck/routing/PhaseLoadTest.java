package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;

class PhaseLoadTest {
    private final ManualClock mClock = ManualClock.create();
    private final DefaultRouter mRouter =
            DefaultRouter.create(mClock, RouterSettings.defaults("east"), "host", 1);

    private static List<EndpointDescription> engines(int prefill, int decode) {
        List<EndpointDescription> engines = new ArrayList<>();
        for (int i = 0; i < prefill + decode; i++) {
            engines.add(
                    new EndpointDescription(
                            "engine-" + i,
                            HostAddress.of("10.0.0." + (i + 1), 80),
                            "models",
                            "east-a",
                            "east",
                            true,
                            false,
                            false,
                            i < prefill ? EndpointRole.PREFILL : EndpointRole.DECODE,
                            Set.of("models/m")));
        }
        return engines;
    }

    private Optional<PhaseLoad> load(int prefill, int decode) {
        return mRouter.phaseLoad(
                "models", 4, role -> role == EndpointRole.PREFILL ? prefill : decode);
    }

    /** Guards against a plan for the fleet from the load of one process. */
    @Test
    void loadOfOtherProcessesIsAdded() {
        mRouter.updateEndpoints(engines(2, 3));
        Map<String, EndpointLoad> peers = new HashMap<>();
        peers.put("engine-0", new EndpointLoad("engine-0", 60_000_000, 7));
        peers.put("engine-3", new EndpointLoad("engine-3", 0, 11));
        mRouter.updatePeerLoad(peers);
        PhaseLoad load = load(2, 3).orElseThrow();
        assertThat(load.busyPrefillEngines(), closeTo(60 / 90.0, 1e-9));
        assertThat(load.promptBacklogNanos(), closeTo(30_000_000, 1));
        assertThat(load.responses(), closeTo(18, 1e-9));
    }

    /** Guards against a plan for thousands of engines from the load of a subset only. */
    @Test
    void loadIsExtendedToEnginesOutsideOfTheSubset() {
        mRouter.updateEndpoints(engines(2, 3));
        mRouter.updatePeerLoad(Map.of("engine-3", new EndpointLoad("engine-3", 0, 11)));
        assertThat(load(2, 30).orElseThrow().responses(), closeTo(110, 1e-9));
    }

    /** Guards against taking a fleet for idle while the other processes cannot be heard. */
    @Test
    void loadIsUnknownWithoutNewsOfOtherProcesses() {
        mRouter.updateEndpoints(engines(2, 3));
        assertThat(load(2, 3), is(Optional.empty()));
        mRouter.updatePeerLoad(Map.of());
        assertThat(load(2, 3).isPresent(), is(true));
        mClock.advance(Duration.ofSeconds(1));
        assertThat(load(2, 3), is(Optional.empty()));
    }
}
