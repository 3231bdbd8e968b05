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
 * @param tokenIntervalMicros intervals between consecutive tokens, in microseconds
 */
record LoadTestRequestOutcome(
        LoadTestRequestKind kind,
        Result result,
        String detail,
        List<String> refusals,
        int attempts,
        boolean wasAccepted,
        long firstTokenMicros,
        List<Long> tokenIntervalMicros) {
    /** How a request ended. */
    enum Result {
        /** The full expected response arrived exactly once. */
        WHOLE,
        /** No attempt started a response. */
        REFUSED,
        /** A response ended and differs from the expected one. */
        WRONG,
        /** A response started, and no attempt completed it. */
        INCOMPLETE,
        /** It is unknown whether the request ran, and it must not be retried any more. */
        UNKNOWN
    }
}
