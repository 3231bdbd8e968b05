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

    /** A command that is recorded only after its response may change the engine but not the log. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void commandsWithoutRecordedIntentAreLost(boolean checksFencing) {
        assertThat(
                countSeedsWithViolation(checksFencing, UnrecordedController::create, "recorded is"),
                greaterThan(0));
    }

    /** With skewed wall clocks, two processes can hold the lease at the same time. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void wallClockLeaseWithoutFencingLetsFormerHoldersAct(boolean checksFencing) {
        assertThat(
                countSeedsWithViolation(checksFencing, WallClockController::create, "of holder"),
                greaterThan(0));
    }

    /**
     * The engine's connection limit does not bound the arrival of late commands if the connection
     * is opened after the lease check, because a pause may come between the two.
     */
    @Test
    void connectingAfterTheCheckLetsFormerHoldersAct() {
        assertThat(
                countSeedsWithViolation(
                        false, FencedController::createConnectingAfterLeaseCheck, "of holder"),
                greaterThan(0));
    }

    /**
     * Engines that check fencing numbers have no connection limit, so only the number protects
     * them.
     */
    @Test
    void commandsWithoutFencingNumbersLetFormerHoldersAct() {
        assertThat(
                countSeedsWithViolation(
                        true, FencedController::createWithoutFencingNumbers, "of holder"),
                greaterThan(0));
    }

    /**
     * One fencing number per acquisition does not order the commands of one holder, so the engine
     * accepts a late copy of an earlier command.
     */
    @Test
    void oneFencingNumberPerHolderLetsLateAttemptsOverwriteCommands() {
        assertThat(
                countSeedsWithViolation(
                        true,
                        FencedController::createWithOneFencingNumberPerHolder,
                        "accepted late"),
                greaterThan(0));
    }

    /** An attempt without a response that arrives after the next command overwrites its effect. */
    @Test
    void commandsWithoutWaitAreOverwrittenByLateAttempts() {
        assertThat(
                countSeedsWithViolation(
                        false, FencedController::createWithoutWait, "accepted late"),
                greaterThan(0));
    }

    private static int countSeedsWithViolation(
            boolean checksFencing, ControllerFactory factory, String violationText) {
        int seedsWithViolation = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            seedsWithViolation +=
                    CommandSimulation.run(seed, checksFencing, factory).stream()
                                    .anyMatch(violation -> violation.contains(violationText))
                            ? 1
                            : 0;
        }
        System.getLogger(CommandPromisesTest.class.getName())
                .log(
                        System.Logger.Level.INFO,
                        "\"{0}\" found in {1} of {2} seeds, engines check fencing numbers: {3}",
                        violationText,
                        seedsWithViolation,
                        SEEDS,
                        checksFencing);
        return seedsWithViolation;
    }
}
