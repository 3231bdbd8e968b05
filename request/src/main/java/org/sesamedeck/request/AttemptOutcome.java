package org.sesamedeck.request;

/** How one call to an endpoint ended without serving the request. */
enum AttemptOutcome {
    /** No byte has left. */
    NOT_SENT,
    /** The endpoint states that it did not run the request. */
    REJECTED,
    /** The endpoint ran the request and answered with a failure. */
    FAILURE_ANSWERED,
    /** The answer is missing, incomplete or spoiled; the request may have run. */
    LOST
}
