package org.sesamedeck.gateway;

/** Result of a call to the platform's API of duties. */
public enum DutyResult {
    /** The platform accepted the call. */
    ACCEPTED,

    /** The platform has seen a higher fencing number, or has no servers there now. */
    CONFLICT,

    /** Too many calls; nothing was done. */
    RATE_LIMITED,

    /** The platform answered that nothing was done. */
    UNAVAILABLE
}
