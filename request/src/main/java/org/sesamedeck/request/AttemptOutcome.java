package org.sesamedeck.request;

/** How one call to an endpoint ended without serving the request. */
enum AttemptOutcome {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The endpoint states that it did not run the request. */
    REJECTED,
    /** The endpoint ran the request and responded with a failure status. */
    FAILURE_ANSWERED,
    /** The response is missing, incomplete or invalid; the request may have run. */
    LOST
}
