package org.sesamedeck.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.sesamedeck.core.ResultCode;

/** Limits the total memory held by the bodies of all open requests. Thread-safe. */
public final class MemoryBudget {
    private final long mLimit;
    private final AtomicLong mUsed = new AtomicLong();

    private MemoryBudget(long limit) {
        mLimit = limit;
    }

    /** Returns a budget with a limit in bytes. */
    public static MemoryBudget of(long limit) {
        return new MemoryBudget(limit);
    }

    /**
     * Reserves bytes.
     *
     * @throws CallerException with OVERLOADED when the limit would be exceeded; nothing is reserved
     *     then
     */
    void reserve(long bytes) {
        if (mUsed.addAndGet(bytes) > mLimit) {
            mUsed.addAndGet(-bytes);
            throw CallerException.of(
                    ResultCode.OVERLOADED, "request bodies take all the memory set aside for them");
        }
    }

    void release(long bytes) {
        mUsed.addAndGet(-bytes);
    }

    long used() {
        return mUsed.get();
    }
}
