package org.sesamedeck.routing;

/** Permission to run one admitted request; held until the request has ended. Thread-safe. */
public interface AdmissionTicket extends AutoCloseable {
    /** Replaces the estimated token counts by those that the endpoint reported. */
    void correct(long promptTokens, long outputTokens);

    /**
     * Records that the first part of the response arrived, which frees capacity for another prompt.
     * Without this call, the capacity is freed after the estimated time of the prompt.
     */
    default void started() {}

    /** Ends the request. */
    @Override
    void close();
}
