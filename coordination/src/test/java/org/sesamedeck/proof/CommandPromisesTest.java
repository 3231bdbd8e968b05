package org.sesamedeck.proof;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Differential test of leases and commands under seeded fault schedules: the production version
 * keeps the guarantees and the naive versions violate them under the same schedules, for both kinds
 * of engines. A guarantee is violated when a command of a former holder changes an engine after one
 * of its successor, when the state of an engine differs from the recorded one, or when a recorded
 * command is never completed.
 */
class CommandPromisesTest {
    /** Number of seeds; set -Dsesamedeck.seeds=10000 for a longer run. */
    private static final int SEEDS = Integer.getInteger("sesamedeck.seeds", 400);

    /** First seed; set -Dsesamedeck.first-seed=N to run other seeds. */
    private static final long FIRST_SEED = Long.getLong("sesamedeck.first-seed", 0);

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void fencedControllerKeepsItsGuarantees(boolean checksFencing) {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            List<String> violations =
                    CommandSimulation.run(seed, checksFencing, FencedController::create);
            assertThat("seed " + seed, violations, empty());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void commandsWithoutRecordedIntentAreLost(boolean checksFencing) {
        assertThat(
                violations(checksFencing, UnrecordedController::create, "recorded is"),
                greaterThan(0));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void wallClockLeaseWithoutFencingLetsFormerHoldersAct(boolean checksFencing) {
        assertThat(
                violations(checksFencing, WallClockController::create, "of holder"),
                greaterThan(0));
    }

    /**
     * The engine's connection limit does not bound late commands if the lease check precedes the
     * connection.
     */
    @Test
    void connectingAfterTheCheckLetsFormerHoldersAct() {
        assertThat(
                violations(false, FencedController::createConnectingAfterLeaseCheck, "of holder"),
                greaterThan(0));
    }

    /**
     * Engines that check fencing numbers have no connection limit, so only the number protects
     * them.
     */
    @Test
    void commandsWithoutFencingNumbersLetFormerHoldersAct() {
        assertThat(
                violations(true, FencedController::createWithoutFencingNumbers, "of holder"),
                greaterThan(0));
    }

    /** One fencing number per acquisition does not order the commands of one holder. */
    @Test
    void oneFencingNumberPerHolderLetsLateAttemptsOverwriteCommands() {
        assertThat(
                violations(
                        true,
                        FencedController::createWithOneFencingNumberPerHolder,
                        "accepted late"),
                greaterThan(0));
    }

    /** An attempt without a response that arrives after the next command overwrites its effect. */
    @Test
    void commandsWithoutWaitAreOverwrittenByLateAttempts() {
        assertThat(
                violations(false, FencedController::createWithoutWait, "accepted late"),
                greaterThan(0));
    }

    private static int violations(boolean checksFencing, ControllerFactory factory, String kind) {
        int found = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            found +=
                    CommandSimulation.run(seed, checksFencing, factory).stream()
                                    .anyMatch(violation -> violation.contains(kind))
                            ? 1
                            : 0;
        }
        System.getLogger(CommandPromisesTest.class.getName())
                .log(
                        System.Logger.Level.INFO,
                        "\"{0}\" found in {1} of {2} seeds, engines check fencing numbers: {3}",
                        kind,
                        found,
                        SEEDS,
                        checksFencing);
        return found;
    }
}
