package org.sesamedeck.proof;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.claim.ClaimAttempt;
import org.sesamedeck.claim.ClaimKey;
import org.sesamedeck.claim.ClaimOutcome;
import org.sesamedeck.claim.ClaimResult;
import org.sesamedeck.claim.ClaimService;
import org.sesamedeck.claim.ClaimState;

/**
 * Naive version: claims exist only in the memory of the process that considers itself the owner.
 */
final class MemoryClaimService implements ClaimService {
    private final Map<ClaimKey, String> mHolders = new HashMap<>();
    private final Map<ClaimKey, ClaimOutcome> mOutcomes = new HashMap<>();
    private boolean mIsOwner;

    private MemoryClaimService() {}

    static ClaimService create() {
        return new MemoryClaimService();
    }

    @Override
    public int shardOf(ClaimKey key) {
        return 0;
    }

    @Override
    public CompletableFuture<Void> acquireShard(int shard) {
        mIsOwner = true;
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void releaseShard(int shard) {
        mIsOwner = false;
    }

    @Override
    public Set<Integer> ownedShards() {
        return mIsOwner ? Set.of(0) : Set.of();
    }

    @Override
    public CompletableFuture<ClaimResult> claim(ClaimAttempt attempt) {
        if (mOutcomes.containsKey(attempt.key())) {
            return CompletableFuture.completedFuture(
                    ClaimResult.done(mOutcomes.get(attempt.key())));
        }
        String holder = mHolders.putIfAbsent(attempt.key(), attempt.attemptId());
        return CompletableFuture.completedFuture(
                ClaimResult.of(
                        holder == null || holder.equals(attempt.attemptId())
                                ? ClaimState.GRANTED
                                : ClaimState.IN_PROGRESS));
    }

    @Override
    public CompletableFuture<Void> complete(ClaimKey key, String attemptId, ClaimOutcome outcome) {
        mOutcomes.put(key, outcome);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> abandon(ClaimKey key, String attemptId) {
        mHolders.remove(key, attemptId);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Duration oldestSegmentAge(int shard) {
        return Duration.ZERO;
    }

    @Override
    public void close() {
        mHolders.clear();
    }
}
