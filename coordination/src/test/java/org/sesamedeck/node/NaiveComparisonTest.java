package org.sesamedeck.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Runs the same faults against the real nodes and against simpler ones, which act on stale
 * versions.
 */
class NaiveComparisonTest {
    // Longer runs: -DargLine="-Dsesamedeck.seeds=600".
    private static final int SEEDS = Integer.getInteger("sesamedeck.seeds", 40);

    // Further runs take other seeds: -DargLine="-Dsesamedeck.first-seed=N".
    private static final long FIRST_SEED = Long.getLong("sesamedeck.first-seed", 0);

    private static final List<FaultSchedule> RUNS = new ArrayList<>();

    @BeforeAll
    static void runFaults() {
        for (int seed = 0; seed < SEEDS; seed++) {
            RUNS.add(FaultSchedule.run(FIRST_SEED + seed, false));
        }
    }

    private static int runsWithViolations(String kind) {
        return (int) RUNS.stream().filter(run -> run.violations(kind) > 0).count();
    }

    /**
     * Guards against a node that acts on a version replaced more than 6 s ago or reverts to one.
     */
    @Test
    void nodesNeverActOnStaleVersionsUnderFaults() {
        for (int seed = 0; seed < SEEDS; seed++) {
            FaultSchedule run = RUNS.get(seed);
            assertThat(
                    "seed " + (FIRST_SEED + seed) + ": " + run.firstViolation(),
                    run.violations("real"),
                    is(0));
        }
    }

    /** Guards against nodes that cannot admit requests after faults have ended. */
    @Test
    void nodesAdmitAgainAfterTheFaults() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat("seed " + (FIRST_SEED + seed), RUNS.get(seed).hasRecovered(), is(true));
        }
    }

    /** Shows that the faults are effective: polling nodes act on old versions and revert. */
    @Test
    void pollingNodesActOnStaleVersionsAndRevert() {
        assertThat(runsWithViolations("polling"), greaterThan(0));
        assertThat(runsWithViolations("polling reverted"), greaterThan(0));
    }

    /** Shows that the reply of one peer is not enough to start from. */
    @Test
    void nodesThatTrustTheFirstPeerActOnStaleVersions() {
        assertThat(runsWithViolations("starting"), greaterThan(0));
    }

    /** Shows that accepting without a majority makes the real nodes act on stale versions. */
    @Test
    void acceptingWithoutAMajorityLeavesNodesOnStaleVersions() {
        int violatingRuns = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            violatingRuns +=
                    FaultSchedule.run(FIRST_SEED + seed, true).violations("real") > 0 ? 1 : 0;
        }
        assertThat(violatingRuns, greaterThan(0));
    }
}
