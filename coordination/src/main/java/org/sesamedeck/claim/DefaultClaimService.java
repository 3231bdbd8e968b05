package org.sesamedeck.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.ObjectStore;

/**
 * Stores claims in shard objects and writes them by group commit.
 *
 * <p>A shard has one owner that keeps all its claims in memory and writes them in batches, so the
 * number of writes depends on the number of shards and the batch interval and not on the request
 * rate. The owner of a shard is determined by the conditional update alone: safety depends on no
 * lease, no clock and no agreement among the nodes about the owner. Two processes that both try to
 * own a shard only take it from each other, which costs time but grants no claim twice. See
 * docs/claims.md for the alternatives and their measured cost.
 */
public final class DefaultClaimService implements ClaimService {
    private final ClaimContext mContext;
    private final String mProcessToken;
    private final Map<Integer, ClaimShard> mShards = new HashMap<>();
    private final Map<Integer, CompletableFuture<ClaimShard>> mAcquisitions = new HashMap<>();
    private long mAcquisitionCount;

    private DefaultClaimService(ClaimContext context, String processToken) {
        mContext = context;
        mProcessToken = processToken;
    }

    /**
     * Returns a service that owns no shards yet.
     *
     * @param processToken token that is unique for each start of a process, for example a random
     *     UUID
     */
    public static DefaultClaimService create(
            ObjectStore store,
            ControlScheduler scheduler,
            Clock clock,
            ClaimSettings settings,
            String processToken) {
        return new DefaultClaimService(
                new ClaimContext(store, scheduler, clock, settings), processToken);
    }

    @Override
    public int shardOf(ClaimKey key) {
        // The key is a hash, so its leading digits are evenly distributed.
        long first = Long.parseLong(key.hash().substring(0, 8), 16);
        return (int) (first % mContext.settings().shards());
    }

    @Override
    public CompletableFuture<Void> acquireShard(int shard) {
        ClaimShard owned = mShards.get(shard);
        if (owned != null && owned.isOwned()) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<ClaimShard> pending = mAcquisitions.get(shard);
        if (pending != null) {
            return pending.thenApply(loaded -> null);
        }
        mAcquisitionCount++;
        CompletableFuture<ClaimShard> acquisition =
                ShardAcquisition.start(mContext, shard, mProcessToken + "/" + mAcquisitionCount);
        mAcquisitions.put(shard, acquisition);
        return acquisition.handle(
                (loaded, failure) -> {
                    boolean isCurrent = mAcquisitions.remove(shard, acquisition);
                    if (failure != null) {
                        throw SesamedeckException.from(failure);
                    }
                    if (isCurrent) {
                        mShards.put(shard, loaded);
                    } else {
                        loaded.end();
                        throw ClaimContext.unavailable(
                                "shard " + shard + " was released while it was being loaded");
                    }
                    return null;
                });
    }

    @Override
    public void releaseShard(int shard) {
        mAcquisitions.remove(shard);
        ClaimShard owned = mShards.remove(shard);
        if (owned != null) {
            owned.end();
        }
    }

    @Override
    public Set<Integer> ownedShards() {
        mShards.values().removeIf(shard -> !shard.isOwned());
        return new TreeSet<>(mShards.keySet());
    }

    @Override
    public CompletableFuture<ClaimResult> claim(ClaimAttempt attempt) {
        return onShard(attempt.key(), shard -> shard.claim(attempt));
    }

    @Override
    public CompletableFuture<Void> complete(ClaimKey key, String attemptId, ClaimOutcome outcome) {
        return onShard(key, shard -> shard.complete(key, attemptId, outcome));
    }

    @Override
    public CompletableFuture<Void> abandon(ClaimKey key, String attemptId) {
        return onShard(key, shard -> shard.abandon(key, attemptId));
    }

    private <T> CompletableFuture<T> onShard(
            ClaimKey key, Function<ClaimShard, CompletableFuture<T>> call) {
        int number = shardOf(key);
        ClaimShard shard = mShards.get(number);
        if (shard == null || !shard.isOwned()) {
            return CompletableFuture.failedFuture(
                    ClaimContext.unavailable("shard " + number + " is not owned by this process"));
        }
        return call.apply(shard);
    }

    @Override
    public Duration oldestSegmentAge(int shard) {
        ClaimShard owned = mShards.get(shard);
        return owned == null ? Duration.ZERO : owned.oldestSegmentAge();
    }

    @Override
    public void close() {
        for (Integer shard : mShards.keySet().toArray(Integer[]::new)) {
            releaseShard(shard);
        }
        mAcquisitions.clear();
    }
}
