package org.sesamedeck.claim;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Manages claims on requests that may run at most once, for the shards that this process owns.
 * Methods are called on the control thread and futures complete there.
 */
public interface ClaimService extends AutoCloseable {
    /** Returns the shard of a key, from 0 to the number of shards minus one. Thread-safe. */
    int shardOf(ClaimKey key);

    /**
     * Acquires a shard, also from a current owner: the conditional update excludes the former
     * owner.
     *
     * @return completes when the shard is loaded; fails with STORE_UNAVAILABLE, STORE_RATE_LIMITED,
     *     STORE_OUTCOME_UNKNOWN or VERSION_CONFLICT, after which the call may be repeated
     */
    CompletableFuture<Void> acquireShard(int shard);

    /** Releases a shard; its claims in progress fail with CLAIMS_UNAVAILABLE. */
    void releaseShard(int shard);

    /**
     * Returns the shards that are loaded and owned. A shard is removed from the set when its
     * ownership is found to be lost.
     */
    Set<Integer> ownedShards();

    /**
     * Claims a request for an attempt. GRANTED is returned only after the claim is durable, and no
     * two attempts of one key are granted unless the first was abandoned or its claim was dropped
     * by the limits on retention and size, which drop no unfinished claim before its deadline.
     *
     * @return fails with CLAIMS_UNAVAILABLE when the shard is not owned here, when the store does
     *     not take writes, when too many claims are open, or when the claim is not known to be
     *     durable by the deadline and within 2 s; the request must then not be forwarded
     */
    CompletableFuture<ClaimResult> claim(ClaimAttempt attempt);

    /**
     * Stores the outcome of a granted attempt; bodies are truncated to 4 KB.
     *
     * @return completes when durable; fails with NOT_FOUND when the attempt does not hold the
     *     claim, CLAIMS_UNAVAILABLE when the shard is not or no longer owned here
     */
    CompletableFuture<Void> complete(ClaimKey key, String attemptId, ClaimOutcome outcome);

    /**
     * Frees the claim of an attempt that was certainly not sent to an endpoint and never will be.
     * Also valid for an attempt whose claim failed.
     *
     * @return as for {@link #complete}
     */
    CompletableFuture<Void> abandon(ClaimKey key, String attemptId);

    /**
     * Returns the shard time since the oldest segment of a shard was sealed; zero when the shard
     * has no sealed segment or is not loaded here.
     */
    Duration oldestSegmentAge(int shard);

    /** Releases all shards. */
    @Override
    void close();
}
