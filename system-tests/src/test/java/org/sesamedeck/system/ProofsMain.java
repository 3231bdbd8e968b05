package org.sesamedeck.system;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs random fault schedules against the real programs for a given time, one seed after another.
 * Arguments: seconds, first seed. Prints one line per seed; exits with status 1 if a seed fails.
 */
public final class ProofsMain {
    private static final int FAULTS = 8;

    private ProofsMain() {}

    public static void main(String[] arguments) {
        long endMillis = System.nanoTime() / 1_000_000 + Long.parseLong(arguments[0]) * 1000;
        long seed = Long.parseLong(arguments[1]);
        List<Long> failed = new ArrayList<>();
        do {
            String result = run(seed);
            System.out.println("processes, seed " + seed + ": " + result);
            if (!result.startsWith("kept")) {
                failed.add(seed);
            }
            seed++;
        } while (System.nanoTime() / 1_000_000 < endMillis);
        System.out.println("failing seeds: " + failed);
        System.exit(failed.isEmpty() ? 0 : 1);
    }

    /**
     * Runs calls with an Idempotency-Key under the faults of one seed; returns a result that starts
     * with "kept" if no invariant was violated.
     */
    private static String run(long seed) {
        try (Fleet fleet = Fleet.start("proofs-" + seed, 3, 2, 2)) {
            AtMostOnceWorkload workload = AtMostOnceWorkload.start(fleet, seed);
            fleet.await("calls complete", () -> workload.completedOperations() > 20);
            ProcessFaultSchedule faults = ProcessFaultSchedule.of(fleet, seed);
            faults.inject(FAULTS);
            faults.awaitRecovery();
            int before = workload.completedOperations();
            fleet.await("calls complete again", () -> workload.completedOperations() > before + 20);
            workload.stop();
            List<String> violations = workload.violations();
            String context = workload.outcomes() + " " + faults.injectedFaults();
            return (violations.isEmpty() ? "kept " : "BROKEN " + violations + " ") + context;
        } catch (Exception | AssertionError failure) {
            return "FAILED " + failure;
        }
    }
}
