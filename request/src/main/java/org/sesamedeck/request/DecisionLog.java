package org.sesamedeck.request;

/** Sink for logged decisions. Implementations never block and never fail. */
public interface DecisionLog {
    /** Records a decision that concerns no single request; it is always kept. */
    void record(LogEntry entry);

    /** Records all decisions of a completed request; ordinary requests may be sampled. */
    void requestEnded(RequestTrace trace);
}
