package org.sesamedeck.endpoint.command;

/** In-memory state of one engine in the executor, kept while the lease is held. */
final class EngineExecutionState {
    private boolean mIsBusy;

    /** Whether a run has completed under this lease; only an open command then needs recovery. */
    private boolean mIsRecovered;

    private boolean mHasUnconfirmedAttempt;
    private long mLatestArrivalNanos;

    boolean isBusy() {
        return mIsBusy;
    }

    void setBusy(boolean isBusy) {
        mIsBusy = isBusy;
    }

    boolean isRecovered() {
        return mIsRecovered;
    }

    void setRecovered() {
        mIsRecovered = true;
    }

    /**
     * Records an attempt without a response, whose command may still arrive until the given
     * monotonic time.
     */
    void addUnconfirmedAttempt(long latestArrivalNanos) {
        if (!mHasUnconfirmedAttempt || latestArrivalNanos - mLatestArrivalNanos > 0) {
            mLatestArrivalNanos = latestArrivalNanos;
        }
        mHasUnconfirmedAttempt = true;
    }

    /**
     * Returns for how many nanoseconds the command of an unconfirmed attempt may still arrive; zero
     * if none can.
     */
    long remainingArrivalNanos(long nowNanos) {
        return mHasUnconfirmedAttempt ? Math.max(0, mLatestArrivalNanos - nowNanos) : 0;
    }
}
