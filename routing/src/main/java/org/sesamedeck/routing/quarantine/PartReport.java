package org.sesamedeck.routing.quarantine;

/**
 * What one process has seen happen to a call with a prompt part.
 *
 * @param part the prompt part
 * @param kind what happened
 * @param depth place of the part in the prompt, from 0; 0 in reports of answers
 * @param endpoint endpoint that crashed; empty in reports of answers
 * @param reporter name of the process that saw it
 * @param atNanos when it happened, in nanoseconds of the monotonic time of this process
 */
public record PartReport(
        PartKey part, Kind kind, int depth, String endpoint, String reporter, long atNanos) {
    /** What happened to a call. */
    public enum Kind {
        /** Its endpoint crashed before it began to answer. */
        INTERRUPTED,
        /** Its endpoint crashed before the answer was whole or had gone on for long. */
        ANSWER_INTERRUPTED,
        /** Its endpoint began to answer, and went on. */
        ANSWERED;

        /** Returns whether an endpoint crashed. */
        public boolean isCrash() {
            return this != ANSWERED;
        }
    }
}
