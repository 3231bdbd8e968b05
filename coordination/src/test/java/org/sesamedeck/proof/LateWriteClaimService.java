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
 * Naive version: the production service writes the claim, but the claim is granted before the write
 * has completed, so the request is forwarded while its claim is not durable yet.
 */
final class LateWriteClaimService implements ClaimService {
    private final ClaimService mBase;
    private final Map<ClaimKey, String> mGrantedAttempts = new HashMap<>();

    private LateWriteClaimService(ClaimService base) {
        mBase = base;
    }

    static ClaimService of(ClaimService base) {
        return new LateWriteClaimService(base);
    }

    @Override
    public CompletableFuture<ClaimResult> claim(ClaimAttempt attempt) {
        CompletableFuture<ClaimResult> write = mBase.claim(attempt);
        if (write.isDone() || mGrantedAttempts.containsKey(attempt.key())) {
            return write;
        }
        mGrantedAttempts.put(attempt.key(), attempt.attemptId());
        return CompletableFuture.completedFuture(ClaimResult.of(ClaimState.GRANTED));
    }

    @Override
    public int shardOf(ClaimKey key) {
        return mBase.shardOf(key);
    }

    @Override
    public CompletableFuture<Void> acquireShard(int shard) {
        return mBase.acquireShard(shard);
    }

    @Override
    public void releaseShard(int shard) {
        mBase.releaseShard(shard);
    }

    @Override
    public Set<Integer> ownedShards() {
        return mBase.ownedShards();
    }

    @Override
    public CompletableFuture<Void> complete(ClaimKey key, String attemptId, ClaimOutcome outcome) {
        return mBase.complete(key, attemptId, outcome);
    }

    @Override
    public CompletableFuture<Void> abandon(ClaimKey key, String attemptId) {
        mGrantedAttempts.remove(key, attemptId);
        return mBase.abandon(key, attemptId);
    }

    @Override
    public Duration oldestSegmentAge(int shard) {
        return mBase.oldestSegmentAge(shard);
    }

    @Override
    public void close() {
        mBase.close();
    }
}
