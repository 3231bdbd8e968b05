package org.sesamedeck.platform;

/** Fault of one call to the fake store. */
public enum StoreFault {
    NONE,
    /** The call fails without effect. */
    UNAVAILABLE,
    /** The write does not reach the store, and the client times out. */
    LOST_BEFORE_EFFECT,
    /** The write takes effect, but its response is lost and the client times out. */
    LOST_AFTER_EFFECT,
    /** The client times out, and the write reaches the store after that. */
    LATE_EFFECT
}
