package org.sesamedeck.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import org.junit.jupiter.api.Test;

/**
 * Tests invariants 5 and 6 with the real programs under random faults: a call with an
 * Idempotency-Key runs at most once, and a call that was reported as not executed never runs.
 */
final class AtMostOnceTest {
    private static final long SEED = 1;
    private static final int FAULTS = 8;

    /** Guards against a call that runs twice, or runs although it was reported as not executed. */
    @Test
    void keyedCallsRunAtMostOnceWhileProcessesDieAndFreeze() throws Exception {
        try (Fleet fleet = Fleet.start("at-most-once", 3, 1, 2)) {
            AtMostOnceWorkload workload = AtMostOnceWorkload.start(fleet, SEED);
            fleet.await("calls complete", () -> workload.completedOperations() > 20);
            ProcessFaultSchedule faults = ProcessFaultSchedule.of(fleet, SEED);
            faults.inject(FAULTS);
            faults.awaitRecovery();
            // A system that refuses every call would not violate the invariants either.
            int before = workload.completedOperations();
            fleet.await("calls complete again", () -> workload.completedOperations() > before + 20);
            workload.stop();
            String context = faults.injectedFaults() + " " + workload.outcomes();
            System.out.println("at most once: " + context);
            assertThat(context, workload.violations(), empty());
            assertThat(context, workload.completedOperations(), greaterThan(40));
        }
    }
}
