package org.sesamedeck.lease;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.OwnedChange;
import org.sesamedeck.platform.OwnedObject;
import org.sesamedeck.platform.OwnedObjectListener;
import org.sesamedeck.platform.StoredVersion;
import org.sesamedeck.platform.WriteRateLimit;

/** A lease held by this process, from its acquisition until its release or loss. */
final class HeldLease implements Lease, OwnedObjectListener {
    private static final Logger LOGGER = System.getLogger(HeldLease.class.getName());

    private final LeaseContext mContext;
    private final ObjectKey mKey;
    private final long mFencingNumber;
    private final FormerHolder mFormerHolder;
    private final LeaseListener mListener;
    private final OwnedObject<LeaseState> mObject;
    private final CompletableFuture<Void> mReleased = new CompletableFuture<>();

    private volatile long mValidUntilNanos;

    /**
     * Whether the lease was lost or closed, or its release was requested. An expiry that was not
     * noticed yet shows only in {@link #mValidUntilNanos}.
     */
    private volatile boolean mIsInvalid;

    private boolean mIsReleasing;

    /**
     * Whether the lease was lost, closed or durably released; the object is not written any more.
     */
    private boolean mIsEnded;

    /** Monotonic time just before the last confirmed write was sent. */
    private long mLastSentNanos;

    private HeldLease(
            LeaseContext context,
            LeaseOwner owner,
            StoredVersion acquired,
            LeaseState state,
            FormerHolder formerHolder,
            LeaseListener listener,
            long sentNanos) {
        mContext = context;
        mKey = acquired.key();
        mFencingNumber = acquired.version();
        mFormerHolder = formerHolder;
        mListener = listener;
        mLastSentNanos = sentNanos;
        mValidUntilNanos = sentNanos + context.validityPeriod().toNanos();
        mObject =
                OwnedObject.of(
                        context.store(),
                        context.scheduler(),
                        context.clock(),
                        acquired,
                        state,
                        owner,
                        this,
                        WriteRateLimit.unlimited());
    }

    static HeldLease start(
            LeaseContext context,
            LeaseOwner owner,
            StoredVersion acquired,
            LeaseState state,
            FormerHolder formerHolder,
            LeaseListener listener,
            long sentNanos) {
        HeldLease lease =
                new HeldLease(context, owner, acquired, state, formerHolder, listener, sentNanos);
        lease.scheduleRenewal();
        lease.scheduleExpiry();
        return lease;
    }

    @Override
    public ObjectKey key() {
        return mKey;
    }

    @Override
    public long fencingNumber() {
        return mFencingNumber;
    }

    @Override
    public Duration remaining() {
        long nanos = mValidUntilNanos - mContext.clock().nanoTime();
        return mIsInvalid || nanos <= 0 ? Duration.ZERO : Duration.ofNanos(nanos);
    }

    @Override
    public FormerHolder formerHolder() {
        return mFormerHolder;
    }

    @Override
    public List<String> unsettled() {
        return mObject.state().unsettled();
    }

    @Override
    public CompletableFuture<Long> settle(Collection<String> nodes) {
        return submit(
                (state, baseVersion) -> {
                    List<String> stillUnsettled = new ArrayList<>(state.unsettled());
                    stillUnsettled.removeAll(nodes);
                    state.setUnsettled(stillUnsettled);
                });
    }

    @Override
    public String payload() {
        return mObject.state().payload();
    }

    @Override
    public CompletableFuture<Long> change(PayloadChange change) {
        return submit(
                (state, baseVersion) ->
                        state.setPayload(change.apply(state.payload(), baseVersion)));
    }

    private CompletableFuture<Long> submit(OwnedChange<LeaseState> change) {
        endIfExpired();
        if (mIsInvalid) {
            return CompletableFuture.failedFuture(leaseLost("it was released or lost"));
        }
        return mObject.change(change);
    }

    @Override
    public CompletableFuture<Void> release() {
        endIfExpired();
        if (mIsEnded) {
            mReleased.completeExceptionally(leaseLost("it was lost before the release"));
        }
        if (mIsEnded || mIsReleasing) {
            return mReleased;
        }
        mIsReleasing = true;
        mIsInvalid = true;
        mObject.change((state, baseVersion) -> state.setReleased())
                .whenComplete(
                        (version, failure) -> {
                            if (failure == null) {
                                mIsEnded = true;
                                mObject.end(leaseLost("it was released"));
                                mReleased.complete(null);
                            } else {
                                mReleased.completeExceptionally(failure);
                            }
                        });
        return mReleased;
    }

    /**
     * Ends the use of the lease and stops renewing it without a release; other processes can
     * acquire it once they have seen its version unchanged for the lease duration.
     */
    void stopRenewing() {
        mIsInvalid = true;
        mIsEnded = true;
        mObject.end(leaseLost("the lease manager was closed"));
    }

    @Override
    public void onWritten(long version, long sentNanos) {
        // Users of the lease may have seen it as expired and stopped acting on it, so a late
        // response must not make it valid again.
        endIfExpired();
        if (mIsEnded) {
            return;
        }
        mLastSentNanos = sentNanos;
        mValidUntilNanos = sentNanos + mContext.validityPeriod().toNanos();
        endIfExpired();
    }

    @Override
    public void onDelayed(SesamedeckException failure) {
        LOGGER.log(Level.WARNING, "write of lease {0} is delayed: {1}", mKey, failure.getMessage());
    }

    @Override
    public void onLost(String reason) {
        endAsLost(reason);
    }

    private void scheduleRenewal() {
        long due = mLastSentNanos + mContext.settings().renewalInterval().toNanos();
        Duration wait = Duration.ofNanos(Math.max(0, due - mContext.clock().nanoTime()));
        // After a refresh, the renewal stays due until the write is confirmed. The owned object
        // retries that write, so the next check can wait for a full interval.
        mContext.scheduler()
                .schedule(
                        wait.isZero() ? mContext.settings().renewalInterval() : wait, this::renew);
    }

    private void renew() {
        if (mIsEnded) {
            return;
        }
        long age = mContext.clock().nanoTime() - mLastSentNanos;
        if (age >= mContext.settings().renewalInterval().toNanos()) {
            mObject.refresh();
        }
        scheduleRenewal();
    }

    private void scheduleExpiry() {
        long wait = Math.max(0, mValidUntilNanos - mContext.clock().nanoTime());
        mContext.scheduler()
                .schedule(
                        Duration.ofNanos(wait),
                        () -> {
                            endIfExpired();
                            if (!mIsEnded) {
                                scheduleExpiry();
                            }
                        });
    }

    private void endIfExpired() {
        if (!mIsEnded && mValidUntilNanos - mContext.clock().nanoTime() <= 0) {
            endAsLost("it was not renewed in time");
        }
    }

    private void endAsLost(String reason) {
        if (mIsEnded) {
            return;
        }
        boolean wasReleasing = mIsReleasing;
        mIsInvalid = true;
        mIsEnded = true;
        LOGGER.log(Level.INFO, "lease {0} ended: {1}", mKey, reason);
        mObject.end(leaseLost(reason));
        if (!wasReleasing) {
            mListener.onLost(this, reason);
        }
    }

    private SesamedeckException leaseLost(String reason) {
        return SesamedeckException.of(
                ResultCode.LEASE_LOST, "lease " + mKey + " has ended: " + reason);
    }
}
