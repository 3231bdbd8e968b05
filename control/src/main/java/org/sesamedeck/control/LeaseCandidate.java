package org.sesamedeck.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sesamedeck.core.Clock;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.lease.LeaseManager;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.platform.ObjectKey;

/**
 * Competes for one lease while this node ranks among the first two live members for it. A holder
 * that has ranked lower for 10 s releases the lease, so that leases are rebalanced to nodes that
 * joined later. Confined to the control thread.
 */
public final class LeaseCandidate {
    private static final System.Logger LOGGER = System.getLogger(LeaseCandidate.class.getName());
    private static final int CANDIDATE_COUNT = 2;
    // Longer than the membership takes to suspect a member and to refute the suspicion, so that a
    // short pause does not move a lease.
    private static final long LOW_RANK_RELEASE_DELAY_NANOS = Duration.ofSeconds(10).toNanos();

    private final Clock mClock;
    private final LeaseManager mLeaseManager;
    private final CoordinationNode mNode;
    private final ObjectKey mKey;
    private final Consumer<Lease> mOnAcquired;
    private final Runnable mOnEnded;
    private final Supplier<CompletableFuture<Void>> mReleaseAction;
    private Optional<Lease> mLease = Optional.empty();
    private boolean mIsCandidate;
    private boolean mIsReleasing;
    private boolean mIsStopped;
    private long mLowRankSinceNanos = Long.MIN_VALUE;

    private LeaseCandidate(
            Clock clock,
            LeaseManager leaseManager,
            CoordinationNode node,
            ObjectKey key,
            Consumer<Lease> onAcquired,
            Runnable onEnded,
            Supplier<CompletableFuture<Void>> releaseAction) {
        mClock = clock;
        mLeaseManager = leaseManager;
        mNode = node;
        mKey = key;
        mOnAcquired = onAcquired;
        mOnEnded = onEnded;
        mReleaseAction = releaseAction;
    }

    /**
     * Returns a candidate that competes from the first {@link #tick()} on.
     *
     * @param onAcquired called with the lease after it was acquired
     * @param onEnded called after the lease was lost or released
     * @param releaseAction stops the work under the lease and releases it
     */
    public static LeaseCandidate create(
            Clock clock,
            LeaseManager leaseManager,
            CoordinationNode node,
            ObjectKey key,
            Consumer<Lease> onAcquired,
            Runnable onEnded,
            Supplier<CompletableFuture<Void>> releaseAction) {
        return new LeaseCandidate(
                clock, leaseManager, node, key, onAcquired, onEnded, releaseAction);
    }

    /** Returns the key of the object that stores the lease. */
    public ObjectKey key() {
        return mKey;
    }

    /** Returns whether the lease is held now. */
    public boolean isHolder() {
        return mLease.filter(Lease::isHeld).isPresent();
    }

    /** Starts or ends the candidacy as the membership changes. */
    public void tick() {
        if (mIsStopped || mIsReleasing) {
            return;
        }
        List<String> ranked = mNode.ranking().rank(mKey.toString());
        int rank = ranked.indexOf(mNode.membership().self().name());
        boolean isRankedHigh = rank >= 0 && rank < CANDIDATE_COUNT;
        if (mLease.isPresent()) {
            releaseIfRankedLow(isRankedHigh);
        } else if (isRankedHigh && !mIsCandidate) {
            mIsCandidate = true;
            mLeaseManager.acquire(mKey, this::onLost).thenAccept(this::onAcquired);
        } else if (!isRankedHigh && mIsCandidate) {
            mIsCandidate = false;
            mLeaseManager.withdraw(mKey);
        }
    }

    private void releaseIfRankedLow(boolean isRankedHigh) {
        long now = mClock.nanoTime();
        if (isRankedHigh) {
            mLowRankSinceNanos = Long.MIN_VALUE;
        } else if (mLowRankSinceNanos == Long.MIN_VALUE) {
            mLowRankSinceNanos = now;
        } else if (now - mLowRankSinceNanos > LOW_RANK_RELEASE_DELAY_NANOS) {
            LOGGER.log(
                    System.Logger.Level.INFO, "releasing lease {0}: other nodes rank higher", mKey);
            release();
        }
    }

    private void onAcquired(Lease lease) {
        mIsCandidate = false;
        mLowRankSinceNanos = Long.MIN_VALUE;
        if (mIsStopped) {
            lease.release();
            return;
        }
        mLease = Optional.of(lease);
        mOnAcquired.accept(lease);
    }

    private void onLost(Lease lease, String reason) {
        if (mLease.filter(held -> held == lease).isEmpty()) {
            return;
        }
        LOGGER.log(System.Logger.Level.WARNING, "lost {0}: {1}", mKey, reason);
        mLease = Optional.empty();
        mOnEnded.run();
    }

    private CompletableFuture<Void> release() {
        mIsReleasing = true;
        return mReleaseAction
                .get()
                .whenComplete(
                        (done, failure) -> {
                            mIsReleasing = false;
                            mLease = Optional.empty();
                            mOnEnded.run();
                        });
    }

    /** Ends the candidacy and releases the lease if it is held. */
    public CompletableFuture<Void> stop() {
        mIsStopped = true;
        if (mIsCandidate) {
            mLeaseManager.withdraw(mKey);
        }
        return mLease.isPresent() && !mIsReleasing
                ? release()
                : CompletableFuture.completedFuture(null);
    }
}
