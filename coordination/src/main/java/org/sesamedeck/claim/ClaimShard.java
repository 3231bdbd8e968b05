package org.sesamedeck.claim;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.OwnedObject;
import org.sesamedeck.platform.OwnedObjectListener;
import org.sesamedeck.platform.StoredVersion;

/**
 * The claims of one shard while this process owns it.
 *
 * <p>The in-memory index is updated when a change is submitted, before the change is durable, so
 * that a second attempt that arrives in between finds the first. Only GRANTED waits for the store:
 * an owner that does not know yet that it was replaced may respond from a stale index, but cannot
 * grant a claim. A submitted change is never withdrawn; a claim that was refused because the store
 * did not respond in time is followed by a change that frees it.
 */
final class ClaimShard implements OwnedObjectListener {
    private static final Logger LOGGER = System.getLogger(ClaimShard.class.getName());

    /** Maximum time that a caller waits for a claim. */
    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(2);

    /** Duration of failing writes after which new claims are refused immediately. */
    private static final Duration OUTAGE_THRESHOLD = Duration.ofMillis(500);

    /**
     * Size of the open segment above which new claims are refused. The open segment is stored in
     * the object of the shard, and the store limits an object to 1 MB.
     */
    private static final long MAX_OPEN_SEGMENT_BYTES = 512 * 1024;

    private final ClaimContext mContext;
    private final int mShard;
    private final ShardOwner mOwner;
    private final OwnedObject<ShardState> mObject;
    private final SegmentSealer mSealer;
    private final Map<String, ClaimEntry> mIndex = new HashMap<>();

    /** Results of claims that are not known to be durable, by hash of the claim key. */
    private final Map<String, CompletableFuture<ClaimResult>> mUnconfirmed = new HashMap<>();

    private boolean mIsFailing;
    private long mFailingSinceNanos;
    private boolean mIsOwned = true;

    /** Size of the submitted entries that are not in the open segment yet. */
    private long mSubmittedBytes;

    private ClaimShard(
            ClaimContext context,
            int shard,
            StoredVersion stored,
            ShardOwner owner,
            ShardState state) {
        mContext = context;
        mShard = shard;
        mOwner = owner;
        mObject =
                OwnedObject.of(
                        context.store(),
                        context.scheduler(),
                        context.clock(),
                        stored,
                        state,
                        owner,
                        this,
                        context.settings().writeRateLimit());
        mSealer = SegmentSealer.of(context, shard, owner, mObject, this::removeDropped);
    }

    static ClaimShard start(
            ClaimContext context,
            int shard,
            StoredVersion stored,
            ShardOwner owner,
            ShardState state,
            List<List<ClaimEntry>> sealedEntries) {
        ClaimShard claims = new ClaimShard(context, shard, stored, owner, state);
        sealedEntries.forEach(
                segment -> segment.forEach(entry -> claims.mIndex.put(entry.key(), entry)));
        state.openEntries().forEach(entry -> claims.mIndex.put(entry.key(), entry));
        claims.mSealer.loadSegments(sealedEntries);
        return claims;
    }

    boolean isOwned() {
        return mIsOwned;
    }

    CompletableFuture<ClaimResult> claim(ClaimAttempt attempt) {
        ClaimEntry entry = mIndex.get(attempt.key().hash());
        if (entry == null || entry.state() == ClaimEntry.StoredState.FREE) {
            return submitClaim(attempt);
        }
        if (!entry.digest().equals(attempt.requestDigest())) {
            return CompletableFuture.completedFuture(ClaimResult.of(ClaimState.KEY_REUSED));
        }
        if (entry.state() == ClaimEntry.StoredState.DONE) {
            return CompletableFuture.completedFuture(ClaimResult.done(entry.outcome()));
        }
        if (entry.attemptId().equals(attempt.attemptId())) {
            // The same attempt retries because the response was lost.
            CompletableFuture<ClaimResult> unconfirmed = mUnconfirmed.get(entry.key());
            return unconfirmed != null
                    ? unconfirmed
                    : CompletableFuture.completedFuture(ClaimResult.of(ClaimState.GRANTED));
        }
        boolean isPastDeadline = mOwner.shardMillis() >= entry.deadlineMillis();
        return CompletableFuture.completedFuture(
                ClaimResult.of(
                        isPastDeadline ? ClaimState.OUTCOME_UNKNOWN : ClaimState.IN_PROGRESS));
    }

    private CompletableFuture<ClaimResult> submitClaim(ClaimAttempt attempt) {
        long failingNanos = mIsFailing ? mContext.clock().nanoTime() - mFailingSinceNanos : 0;
        if (failingNanos > OUTAGE_THRESHOLD.toNanos()) {
            return refuse("the object store does not take writes");
        }
        if (mObject.state().openBytes() + mSubmittedBytes > MAX_OPEN_SEGMENT_BYTES) {
            return refuse("too many claims are open");
        }
        long deadline = mOwner.shardMillis() + attempt.deadline().toMillis();
        ClaimEntry entry = ClaimEntry.claimed(attempt, deadline);
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        mIndex.put(entry.key(), entry);
        mUnconfirmed.put(entry.key(), result);
        submit(entry)
                .whenComplete(
                        (version, failure) -> {
                            mUnconfirmed.remove(entry.key(), result);
                            if (failure == null) {
                                result.complete(ClaimResult.of(ClaimState.GRANTED));
                            } else {
                                result.completeExceptionally(notOwned());
                            }
                        });
        Duration wait =
                attempt.deadline().compareTo(MAX_CLAIM_WAIT) < 0
                        ? attempt.deadline()
                        : MAX_CLAIM_WAIT;
        mContext.scheduler().schedule(wait, () -> expireClaim(entry, result));
        return result;
    }

    /** Fails a claim that is not durable yet, and frees it because its write may still succeed. */
    private void expireClaim(ClaimEntry entry, CompletableFuture<ClaimResult> result) {
        boolean isExpired =
                result.completeExceptionally(
                        ClaimContext.unavailable(
                                "claim was not durable in time in shard " + mShard));
        if (!isExpired) {
            return;
        }
        mUnconfirmed.remove(entry.key(), result);
        if (mIsOwned && mIndex.get(entry.key()) == entry) {
            replace(entry.free());
        }
    }

    CompletableFuture<Void> complete(ClaimKey key, String attemptId, ClaimOutcome outcome) {
        ClaimEntry entry = mIndex.get(key.hash());
        if (entry == null || !entry.attemptId().equals(attemptId)) {
            return notHeld(attemptId);
        }
        switch (entry.state()) {
            case DONE:
                return CompletableFuture.completedFuture(null);
            case CLAIMED:
                return replace(entry.done(outcome.truncated()));
            default:
                return notHeld(attemptId);
        }
    }

    CompletableFuture<Void> abandon(ClaimKey key, String attemptId) {
        ClaimEntry entry = mIndex.get(key.hash());
        if (entry == null || !entry.attemptId().equals(attemptId)) {
            return notHeld(attemptId);
        }
        switch (entry.state()) {
            case FREE:
                return CompletableFuture.completedFuture(null);
            case CLAIMED:
                CompletableFuture<ClaimResult> unconfirmed = mUnconfirmed.remove(key.hash());
                if (unconfirmed != null) {
                    unconfirmed.completeExceptionally(
                            ClaimContext.unavailable("claim was abandoned"));
                }
                return replace(entry.free());
            default:
                return notHeld(attemptId);
        }
    }

    private CompletableFuture<Void> replace(ClaimEntry entry) {
        mIndex.put(entry.key(), entry);
        CompletableFuture<Void> result = new CompletableFuture<>();
        submit(entry)
                .whenComplete(
                        (version, failure) -> {
                            if (failure == null) {
                                result.complete(null);
                            } else {
                                result.completeExceptionally(notOwned());
                            }
                        });
        return result;
    }

    private CompletableFuture<Long> submit(ClaimEntry entry) {
        long bytes = entry.format().length();
        mSubmittedBytes += bytes;
        return mObject.change(
                (state, baseVersion) -> {
                    mSubmittedBytes -= bytes;
                    state.put(entry);
                });
    }

    /** Removes an entry of a dropped segment from the index unless a later entry replaced it. */
    private void removeDropped(ClaimEntry entry) {
        mIndex.remove(entry.key(), entry);
    }

    Duration oldestSegmentAge() {
        List<SegmentReference> segments = mObject.state().segments();
        return segments.isEmpty()
                ? Duration.ZERO
                : Duration.ofMillis(mOwner.shardMillis() - segments.get(0).sealedMillis());
    }

    void end() {
        mIsOwned = false;
        mSealer.stop();
        mObject.end(notOwned());
    }

    @Override
    public void onWritten(long version, long sentNanos) {
        mIsFailing = false;
        mContext.scheduler().execute(mSealer::sealAndDrop);
    }

    @Override
    public void onDelayed(SesamedeckException failure) {
        if (!mIsFailing) {
            mIsFailing = true;
            mFailingSinceNanos = mContext.clock().nanoTime();
            LOGGER.log(
                    Level.WARNING,
                    "claim writes of shard {0} are delayed: {1}",
                    mShard,
                    failure.getMessage());
        }
    }

    @Override
    public void onLost(String reason) {
        mIsOwned = false;
        mSealer.stop();
        LOGGER.log(
                Level.INFO,
                "claim shard {0} is no longer owned by this process: {1}",
                mShard,
                reason);
    }

    private <T> CompletableFuture<T> refuse(String reason) {
        return CompletableFuture.failedFuture(
                ClaimContext.unavailable("shard " + mShard + ": " + reason));
    }

    private <T> CompletableFuture<T> notHeld(String attemptId) {
        return CompletableFuture.failedFuture(
                SesamedeckException.of(
                        ResultCode.NOT_FOUND, "attempt " + attemptId + " does not hold the claim"));
    }

    private SesamedeckException notOwned() {
        return ClaimContext.unavailable("shard " + mShard + " is not owned by this process");
    }
}
