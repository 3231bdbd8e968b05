package org.sesamedeck.claim;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;

/**
 * Alternative design for comparison with claim shards: one object per claim. It needs no owner, but
 * costs one write per claim and one per outcome. A claim whose write conflicts or has an unknown
 * outcome is read back once.
 */
final class ObjectPerClaimService implements ClaimService {
    private final ObjectStore mStore;
    private final Map<ClaimKey, Long> mVersions = new HashMap<>();

    private ObjectPerClaimService(ObjectStore store) {
        mStore = store;
    }

    static ClaimService create(ObjectStore store) {
        return new ObjectPerClaimService(store);
    }

    @Override
    public CompletableFuture<ClaimResult> claim(ClaimAttempt attempt) {
        ClaimEntry entry = ClaimEntry.claimed(attempt, attempt.deadline().toMillis());
        return mStore.create(objectKey(attempt.key()), entry.format())
                .handle(
                        (version, failure) -> {
                            if (failure == null) {
                                mVersions.put(attempt.key(), version);
                                return CompletableFuture.completedFuture(
                                        ClaimResult.of(ClaimState.GRANTED));
                            }
                            return readBack(attempt, SesamedeckException.from(failure));
                        })
                .thenCompose(result -> result);
    }

    private CompletableFuture<ClaimResult> readBack(
            ClaimAttempt attempt, SesamedeckException failure) {
        if (failure.code() != ResultCode.VERSION_CONFLICT
                && failure.code() != ResultCode.STORE_OUTCOME_UNKNOWN) {
            return CompletableFuture.failedFuture(ClaimContext.unavailable(failure.getMessage()));
        }
        return mStore.get(objectKey(attempt.key())).thenApply(found -> toResult(attempt, found));
    }

    private ClaimResult toResult(ClaimAttempt attempt, Optional<StoredObject> found) {
        ClaimEntry entry =
                found.map(stored -> ClaimEntry.parse(stored.value()))
                        .orElseThrow(() -> ClaimContext.unavailable("claim was not written"));
        if (entry.isHeldBy(attempt.attemptId())) {
            mVersions.put(attempt.key(), found.get().version());
            return ClaimResult.of(ClaimState.GRANTED);
        }
        if (!entry.digest().equals(attempt.requestDigest())) {
            return ClaimResult.of(ClaimState.KEY_REUSED);
        }
        return entry.state() == ClaimEntry.StoredState.DONE
                ? ClaimResult.done(entry.outcome())
                : ClaimResult.of(ClaimState.IN_PROGRESS);
    }

    @Override
    public CompletableFuture<Void> complete(ClaimKey key, String attemptId, ClaimOutcome outcome) {
        ClaimEntry entry =
                new ClaimEntry(
                        key.hash(),
                        "",
                        attemptId,
                        ClaimEntry.StoredState.DONE,
                        0,
                        outcome.truncated());
        return mStore.update(objectKey(key), mVersions.remove(key), entry.format())
                .thenApply(version -> null);
    }

    @Override
    public CompletableFuture<Void> abandon(ClaimKey key, String attemptId) {
        return mStore.delete(objectKey(key), mVersions.remove(key));
    }

    private static ObjectKey objectKey(ClaimKey key) {
        return ObjectKey.of(
                "claim",
                Base64.getUrlEncoder()
                        .withoutPadding()
                        .encodeToString(key.hash().getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public int shardOf(ClaimKey key) {
        return 0;
    }

    @Override
    public CompletableFuture<Void> acquireShard(int shard) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void releaseShard(int shard) {
        mVersions.clear();
    }

    @Override
    public Set<Integer> ownedShards() {
        return Set.of(0);
    }

    @Override
    public Duration oldestSegmentAge(int shard) {
        return Duration.ZERO;
    }

    @Override
    public void close() {
        mVersions.clear();
    }
}
