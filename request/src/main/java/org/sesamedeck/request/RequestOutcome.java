package org.sesamedeck.request;

/** The outcome of a request as the caller sees it. */
public enum RequestOutcome {
    /** Complete success within the target latency. */
    SERVED,
    /** Complete success after the target latency. */
    SERVED_LATE,
    /** The failure response of an endpoint was relayed. */
    FAILED_BY_ENDPOINT,
    /** The caller was told that the request has not run. */
    REFUSED,
    /** The caller was told that the request failed or that its outcome is unknown. */
    FAILED,
    /** The caller's connection was closed before its stream was complete. */
    BROKEN_OFF,
    /** The caller disconnected before the response was complete. */
    CALLER_LEFT
}
