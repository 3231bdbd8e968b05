package org.sesamedeck.gateway.duty;

import java.time.Duration;

/**
 * The times of usage reports.
 *
 * @param window length of a window
 * @param lateness time from the end of a window until its report is due
 * @param callsPerSecond calls to the platform that reports may take
 */
record UsageSchedule(Duration window, Duration lateness, double callsPerSecond) {
    /**
     * Returns the time from the end of a window until its report is fixed with what has come in.
     */
    Duration collectionTime() {
        return lateness.multipliedBy(3).dividedBy(10);
    }

    /** Returns the time that the others have to repeat their counts to a new holder. */
    Duration handoverTime() {
        return lateness.multipliedBy(12).dividedBy(100);
    }

    /** Returns the end of a window, in milliseconds since 1970. */
    long endMillis(long number) {
        return (number + 1) * window.toMillis();
    }

    /** Returns the time between two checks of what is due. */
    Duration checkInterval() {
        return lateness.dividedBy(20);
    }

    /**
     * Returns the time after which new counts are sent to the holder. A shorter one costs the
     * holder more datagrams, a longer one loses more with a killed process.
     */
    Duration sendInterval() {
        return lateness.dividedBy(5);
    }

    /** Returns the time after which counts without an answer are sent again. */
    Duration retryInterval() {
        return lateness.multipliedBy(7).dividedBy(100);
    }

    /** Returns the time after the end of a window within which its counts are sent. */
    Duration windowEndJitter() {
        return lateness.multipliedBy(4).dividedBy(100);
    }

    /** Returns the time after which a holder that has not answered is not the only one asked. */
    Duration silence() {
        return lateness.dividedBy(4);
    }
}
