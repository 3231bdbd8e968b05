package org.sesamedeck.gateway;

/** The memory that one connection of a caller has reserved. It is released once, at its end. */
final class ConnectionMemory {
    /** Memory of an open connection with its channel, pipeline and decoder. */
    static final int BASE_BYTES = 8 * 1_024;

    private final CallerMemory mMemory;
    private final MemoryHolder mHolder;
    private long mReservedBytes;
    private boolean mIsReleased;

    private ConnectionMemory(CallerMemory memory, MemoryHolder holder) {
        mMemory = memory;
        mHolder = holder;
    }

    /** Returns memory that holds nothing yet. */
    static ConnectionMemory create(CallerMemory memory, MemoryHolder holder) {
        return new ConnectionMemory(memory, holder);
    }

    /** Reserves what an open connection takes. */
    void open() {
        mMemory.add(mHolder);
        mMemory.reserve(BASE_BYTES);
        mReservedBytes = BASE_BYTES;
    }

    /** Returns false if there is no room; nothing is reserved then. */
    boolean tryReserve(long bytes) {
        if (mIsReleased || !mMemory.tryReserve(mHolder, bytes)) {
            return false;
        }
        mReservedBytes += bytes;
        return true;
    }

    /** Reserves bytes that have been received already and cannot be refused. */
    void reserve(long bytes) {
        if (!mIsReleased) {
            mMemory.reserve(bytes);
            mReservedBytes += bytes;
        }
    }

    void release(long bytes) {
        if (!mIsReleased) {
            mReservedBytes -= bytes;
            mMemory.release(bytes);
        }
    }

    /** Returns whether the body may be read now; see {@link CallerMemory#admit}. */
    boolean admit(long bytes) {
        return !mIsReleased && mMemory.admit(mHolder, bytes);
    }

    /** Ends the wait for {@link MemoryHolder#admitted}. */
    void cancelWait() {
        mMemory.cancelWait(mHolder);
    }

    void releaseLarge() {
        mMemory.releaseLarge(mHolder);
    }

    /** Releases all; nothing can be reserved from now on. */
    void close() {
        if (!mIsReleased) {
            mIsReleased = true;
            mMemory.remove(mHolder, mReservedBytes);
        }
    }

    /** Returns what ending the connection would set free. */
    long reclaimableBytes() {
        return mIsReleased ? 0 : mReservedBytes - BASE_BYTES;
    }
}
