package org.sesamedeck.claim;

/** State of a claim as reported to an attempt. */
public enum ClaimState {
    /** The attempt holds the claim and may be forwarded. */
    GRANTED,
    /** Another attempt holds the claim and its deadline has not passed. */
    IN_PROGRESS,
    /** Another attempt holds the claim, its deadline has passed and no outcome is stored. */
    OUTCOME_UNKNOWN,
    /** The request ran; the result has the stored outcome. */
    DONE,
    /** The key was used with a different request. */
    KEY_REUSED
}
