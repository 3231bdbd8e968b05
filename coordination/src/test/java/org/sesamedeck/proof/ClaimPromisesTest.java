package org.sesamedeck.proof;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sesamedeck.claim.ClaimService;
import org.sesamedeck.claim.ClaimSettings;
import org.sesamedeck.claim.DefaultClaimService;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.SimulatedProcess;

/**
 * Differential test of claims under seeded fault schedules: with the production version no request
 * runs twice and no request reported as not executed runs at all, while the naive versions violate
 * these guarantees under the same schedules.
 */
class ClaimPromisesTest {
    /** Number of seeds; set -Dsesamedeck.seeds=10000 for a longer run. */
    private static final int SEEDS = Integer.getInteger("sesamedeck.seeds", 400);

    /** First seed; set -Dsesamedeck.first-seed=N to run other seeds. */
    private static final long FIRST_SEED = Long.getLong("sesamedeck.first-seed", 0);

    @Test
    void durableClaimsLetNoRequestRunTwice() {
        int executedRequests = 0;
        int storedOutcomes = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            ClaimSimulationResult result = ClaimSimulation.run(seed, ClaimPromisesTest::production);
            assertThat("seed " + seed, result.violations(), empty());
            executedRequests += result.executedRequests();
            storedOutcomes += result.storedOutcomes();
        }
        log(
                "production: {0} requests ran, {1} repeated requests got the stored outcome",
                executedRequests, storedOutcomes);
        // Guards against a version that keeps the guarantees by refusing everything.
        assertThat(executedRequests, greaterThan(SEEDS * 10));
        assertThat(storedOutcomes, greaterThan(SEEDS * 10));
    }

    /** A claim in the memory of one process is unknown to the next owner of the shard. */
    @Test
    void claimsKeptInMemoryViolateTheGuarantees() {
        assertThat(
                countSeedsWithViolations(
                        "in memory", (store, process, token) -> MemoryClaimService.create()),
                greaterThan(0));
    }

    /** A claim whose write fails after the request was forwarded is unknown to the next owner. */
    @Test
    void claimsGrantedBeforeTheWriteCompletesViolateTheGuarantees() {
        assertThat(
                countSeedsWithViolations(
                        "written after forwarding",
                        (store, process, token) ->
                                LateWriteClaimService.of(production(store, process, token))),
                greaterThan(0));
    }

    private static ClaimService production(
            FakeObjectStore store, SimulatedProcess process, String token) {
        // Small segments make the schedules cover sealing and reading of segments; the size limit
        // is large enough that no claim of a run is dropped.
        ClaimSettings settings =
                new ClaimSettings(
                        1, Duration.ofMillis(5), 200, Duration.ofHours(24), 1500, 10_000_000);
        return DefaultClaimService.create(store, process, process.clock(), settings, token);
    }

    private static int countSeedsWithViolations(
            String version, ClaimSimulation.ServiceFactory factory) {
        int seedsWithViolations = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            seedsWithViolations +=
                    ClaimSimulation.run(seed, factory).violations().isEmpty() ? 0 : 1;
        }
        log(
                "claims " + version + ": violations found in {0} of {1} seeds",
                seedsWithViolations,
                SEEDS);
        return seedsWithViolations;
    }

    private static void log(String message, Object... parameters) {
        System.getLogger(ClaimPromisesTest.class.getName())
                .log(System.Logger.Level.INFO, message, parameters);
    }
}
