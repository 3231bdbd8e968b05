package org.sesamedeck.request;

/** Receives decisions. Implementations never block and never fail. */
public interface DecisionLog {
    /** Takes a decision that concerns no single request; it is always kept. */
    void record(LogEntry entry);

    /** Takes all decisions of a request that has ended; ordinary ones may be sampled. */
    void requestEnded(RequestTrace trace);
}
