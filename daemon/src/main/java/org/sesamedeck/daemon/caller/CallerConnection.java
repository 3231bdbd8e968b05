package org.sesamedeck.daemon.caller;

import java.util.concurrent.TimeUnit;

/**
 * What one connection of a caller holds. All fields are guarded by the ledger, which decides when
 * the connection is closed.
 */
public final class CallerConnection {
    /** Name of the request attribute that holds the connection. */
    public static final String ATTRIBUTE = "org.sesamedeck.caller-connection";

    /** A body makes progress with this many bytes; single bytes now and then are none. */
    private static final int PROGRESS_BYTES = 4_096;

    private final CallerLedger mLedger;
    private final Runnable mClose;
    private CallerState mState = CallerState.IDLE;
    private long mStateNanos;
    private long mStalledNanos;
    private long mReceivedBytes;
    private long mHeldBytes;
    private boolean mIsLarge;

    CallerConnection(CallerLedger ledger, Runnable close, long nowNanos) {
        mLedger = ledger;
        mClose = close;
        mStateNanos = nowNanos;
    }

    /**
     * Announces how much memory a request will reserve, before it reserves any; small requests need
     * not wait for memory behind large ones.
     */
    public void expect(long bytes) {
        mLedger.expect(this, bytes);
    }

    /**
     * Reserves memory for the request in progress, if necessary by ending other callers that make
     * no progress, or by waiting a short time for others to release theirs.
     *
     * @return false if there is not enough; nothing is reserved then
     */
    public boolean reserve(long bytes) {
        return mLedger.reserve(this, bytes);
    }

    /** Releases memory of the request in progress. */
    public void release(long bytes) {
        mLedger.release(this, bytes);
    }

    CallerState state() {
        return mState;
    }

    void setState(CallerState state, long nowNanos) {
        if (mState == CallerState.RECEIVING) {
            mStalledNanos += nowNanos - mStateNanos;
        }
        if (state == CallerState.SENDING || mState == CallerState.IDLE) {
            mStalledNanos = 0;
            mReceivedBytes = 0;
        }
        mState = state;
        mStateNanos = nowNanos;
    }

    /** Returns the time since the current state began, in nanoseconds. */
    long stateNanos(long nowNanos) {
        return nowNanos - mStateNanos;
    }

    /** Returns the time for which the caller has kept a transfer waiting, in nanoseconds. */
    long stalledNanos(long nowNanos) {
        return switch (mState) {
            case RECEIVING -> mStalledNanos + stateNanos(nowNanos);
            case SENDING -> stateNanos(nowNanos);
            default -> 0;
        };
    }

    void received(long bytes) {
        mReceivedBytes += bytes;
        if (mReceivedBytes >= PROGRESS_BYTES) {
            mReceivedBytes = 0;
            mStalledNanos = 0;
        }
    }

    long heldBytes() {
        return mHeldBytes;
    }

    void addHeldBytes(long bytes) {
        mHeldBytes += bytes;
    }

    boolean isLarge() {
        return mIsLarge;
    }

    void setLarge(boolean isLarge) {
        mIsLarge = isLarge;
    }

    /** Returns the product of memory and time without progress, with which a body weighs. */
    double weight(long nowNanos) {
        boolean isReceiving = mState == CallerState.RECEIVING;
        return isReceiving
                ? (double) mHeldBytes * TimeUnit.NANOSECONDS.toMillis(stalledNanos(nowNanos))
                : 0;
    }

    void close() {
        mClose.run();
    }
}
