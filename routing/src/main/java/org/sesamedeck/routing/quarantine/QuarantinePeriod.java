package org.sesamedeck.routing.quarantine;

import java.time.Duration;

/**
 * Time for which a part stays quarantined before it is tested. A crash after that doubles the time,
 * so that a part that stays harmful costs ever fewer endpoints.
 *
 * @param sinceNanos when the part was quarantined, in nanoseconds of monotonic time
 * @param untilNanos when tests begin, in nanoseconds of monotonic time
 * @param hold time from the last crash to the first test
 */
record QuarantinePeriod(long sinceNanos, long untilNanos, Duration hold) {
    /** Several times the time in which an engine starts again and fills its caches. */
    static final Duration INITIAL_HOLD = Duration.ofSeconds(30);

    /** Longest time that a part which has become sound waits for a test. */
    static final Duration MAX_HOLD = Duration.ofMinutes(10);

    /** Returns the first period of a part, which starts with its latest crash. */
    static QuarantinePeriod start(long nowNanos, long lastCrashNanos) {
        return new QuarantinePeriod(
                nowNanos, lastCrashNanos + INITIAL_HOLD.toNanos(), INITIAL_HOLD);
    }

    /** Returns the period after another crash, which doubles the hold when it came from a test. */
    QuarantinePeriod afterCrash(long crashNanos) {
        if (crashNanos - untilNanos < 0) {
            long until = crashNanos + hold.toNanos();
            return new QuarantinePeriod(
                    sinceNanos, until - untilNanos > 0 ? until : untilNanos, hold);
        }
        Duration doubled = hold.multipliedBy(2);
        Duration next = doubled.compareTo(MAX_HOLD) > 0 ? MAX_HOLD : doubled;
        return new QuarantinePeriod(sinceNanos, crashNanos + next.toNanos(), next);
    }

    boolean isTestDue(long nowNanos) {
        return nowNanos - untilNanos >= 0;
    }
}
