package org.sesamedeck.routing.quarantine;

import java.time.Duration;
import java.util.List;
import org.sesamedeck.core.HashMixer;

/**
 * Decides whether this process may test a quarantined part with one request. Only one process may
 * at first, since each test may crash an endpoint. Its callers may not send the part, so the number
 * of processes that may test doubles every few seconds until one of them has tested it. No messages
 * are needed: all processes rank themselves by the same hash.
 */
final class RetestSchedule {
    /** Time in which a test shows its outcome and the other processes hear of it. */
    static final Duration STEP = Duration.ofSeconds(5);

    private static final int MAX_DOUBLINGS = 30;

    private RetestSchedule() {}

    /**
     * Returns whether this process may test.
     *
     * @param sinceDue time since tests of the part are due
     * @param self name of this process
     * @param processes names of all processes that take part
     */
    static boolean mayTest(PartKey part, Duration sinceDue, String self, List<String> processes) {
        long steps = Math.min(MAX_DOUBLINGS, sinceDue.toNanos() / STEP.toNanos());
        long testers = 1L << steps;
        long ownRank = rank(part, self);
        long before =
                processes.stream()
                        .filter(name -> !name.equals(self))
                        .filter(name -> rank(part, name) < ownRank)
                        .count();
        return before < testers;
    }

    private static long rank(PartKey part, String process) {
        long partHash = part.identifier() * 31 + part.targetHash();
        return HashMixer.mix(partHash * 31 + process.hashCode());
    }
}
