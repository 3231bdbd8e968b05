package org.sesamedeck.request;

/** What may be done with a request whose outcome is unknown. */
public enum RequestKind {
    /** Idempotent: may run several times. */
    REPEATABLE(true, false),
    /** Runs at most once. */
    ONCE(false, false),
    /** Answered by events; runs at most once. */
    STREAM(false, true),
    /** Answered by events; another run may go on after the last event that was delivered. */
    RESUMABLE_STREAM(true, true);

    private final boolean mIsRepeatable;
    private final boolean mIsStream;

    RequestKind(boolean isRepeatable, boolean isStream) {
        mIsRepeatable = isRepeatable;
        mIsStream = isStream;
    }

    /** Returns whether a request that may have run may be sent again. */
    public boolean isRepeatable() {
        return mIsRepeatable;
    }

    /** Returns whether the answer is a series of events. */
    public boolean isStream() {
        return mIsStream;
    }
}
