package org.sesamedeck.core;

/** Whether a failed request may have been executed by an endpoint. */
public enum Execution {
    /** Nothing was sent, or the endpoint confirmed that it did not run the request. */
    NO,
    /** The request may or may not have run. */
    UNKNOWN,
    /** The request ran, in full or in part. */
    YES
}
