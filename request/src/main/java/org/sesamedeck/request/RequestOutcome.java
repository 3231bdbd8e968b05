package org.sesamedeck.request;

/** How a request ended, as the caller sees it. */
public enum RequestOutcome {
    /** A whole success within the target latency. */
    SERVED,
    /** A whole success after the target latency. */
    SERVED_LATE,
    /** The failure that an endpoint answered. */
    FAILED_BY_ENDPOINT,
    /** Told that it has not run. */
    REFUSED,
    /** Told that it failed, or that its outcome is unknown. */
    FAILED,
    /** The connection was closed in the middle of a stream. */
    BROKEN_OFF,
    /** The caller went away first. */
    CALLER_LEFT
}
