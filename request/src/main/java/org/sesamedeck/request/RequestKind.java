package org.sesamedeck.request;

/** Whether a request may run more than once, and whether its response is a stream. */
public enum RequestKind {
    /** Idempotent: may run several times. */
    REPEATABLE(true, false),
    /** Runs at most once. */
    ONCE(false, false),
    /** Response is an event stream; runs at most once. */
    STREAM(false, true),
    /** Response is an event stream; another run may resume it after the last delivered event. */
    RESUMABLE_STREAM(true, true);

    private final boolean mIsRepeatable;
    private final boolean mIsStream;

    RequestKind(boolean isRepeatable, boolean isStream) {
        mIsRepeatable = isRepeatable;
        mIsStream = isStream;
    }

    /** Returns whether a request that may have run may be retried. */
    public boolean isRepeatable() {
        return mIsRepeatable;
    }

    /** Returns whether the response is an event stream. */
    public boolean isStream() {
        return mIsStream;
    }
}
