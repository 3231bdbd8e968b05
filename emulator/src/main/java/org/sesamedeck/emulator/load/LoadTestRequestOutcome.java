package org.sesamedeck.emulator.load;

import java.util.List;

/**
 * Outcome of one request of a load test.
 *
 * @param kind kind of the request
 * @param result how it ended
 * @param detail fault or last result code; empty for a full response
 * @param refusals names of all refusals, including the last one
 * @param attempts number of HTTP requests
 * @param wasAccepted whether an entry had started a response
 * @param firstTokenMicros time from the planned arrival to the first token or the service result,
 *     in microseconds; -1 if there was none
 * @param tokenMicros token intervals in microseconds
 */
record LoadTestRequestOutcome(
        LoadTestRequestKind kind,
        Result result,
        String detail,
        List<String> refusals,
        int attempts,
        boolean wasAccepted,
        long firstTokenMicros,
        List<Long> tokenMicros) {
    /** Result of a request. */
    enum Result {
        WHOLE,
        REFUSED,
        WRONG,
        INCOMPLETE,
        UNKNOWN
    }
}
