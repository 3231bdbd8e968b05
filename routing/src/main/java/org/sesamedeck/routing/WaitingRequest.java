package org.sesamedeck.routing;

import java.util.concurrent.CompletableFuture;

/** A queued request that waits for an admission ticket. */
final class WaitingRequest {
    private final RequestProfile mProfile;
    private final PoolState mPool;
    private final long mSequence;
    private final CompletableFuture<AdmissionTicket> mFuture = new CompletableFuture<>();
    private FairQueue.Entry<WaitingRequest> mEntry;

    WaitingRequest(RequestProfile profile, PoolState pool, long sequence) {
        mProfile = profile;
        mPool = pool;
        mSequence = sequence;
    }

    RequestProfile profile() {
        return mProfile;
    }

    PoolState pool() {
        return mPool;
    }

    long sequence() {
        return mSequence;
    }

    long deadlineNanos() {
        return mProfile.deadlineNanos();
    }

    CompletableFuture<AdmissionTicket> future() {
        return mFuture;
    }

    FairQueue.Entry<WaitingRequest> entry() {
        return mEntry;
    }

    void setEntry(FairQueue.Entry<WaitingRequest> entry) {
        mEntry = entry;
    }
}
