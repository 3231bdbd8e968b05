package org.sesamedeck.gateway.duty;

import java.util.Optional;
import java.util.SortedMap;

/**
 * What one process tells another about the duties.
 *
 * @param sender name of the sender
 * @param incarnation random number that identifies the run of the sender
 * @param timeOfDayMillis time of day of the sender, in milliseconds since 1970
 * @param holder holder of the duties as far as the sender knows
 * @param fencingNumber fencing number of that holder; 0 if it knows none
 * @param fixedThrough last window whose report is fixed; counts of it and before are not needed
 * @param windows requests of the sender by window and account
 * @param sentMillis monotonic time of the sender in milliseconds
 * @param reply what only a reply has
 */
record DutyMessage(
        String sender,
        long incarnation,
        long timeOfDayMillis,
        Optional<String> holder,
        long fencingNumber,
        Optional<Long> fixedThrough,
        SortedMap<Long, SortedMap<String, Long>> windows,
        long sentMillis,
        Optional<Reply> reply) {
    /**
     * The part of a reply.
     *
     * @param echoMillis the monotonic time that the message had
     * @param trueTimeMillis the estimate of the true time, if the sender is the holder
     */
    record Reply(long echoMillis, Optional<Long> trueTimeMillis) {}
}
