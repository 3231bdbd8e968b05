package org.sesamedeck.claim;

import java.time.Duration;
import org.sesamedeck.platform.WriteRateLimit;

/**
 * Settings of the claim service.
 *
 * @param shards number of shards, the same on all nodes
 * @param batchInterval minimum time between the starts of two updates of a shard
 * @param writesPerSecond sustained limit of updates per second, for all shards together
 * @param retention how long a claim is kept
 * @param segmentBytes size of the open segment above which it is sealed, at most once a second
 *     unless it exceeds 256 KB
 * @param shardBytes maximum total size of the sealed segments kept for a shard
 */
public record ClaimSettings(
        int shards,
        Duration batchInterval,
        int writesPerSecond,
        Duration retention,
        int segmentBytes,
        long shardBytes) {
    /**
     * The store sustains several hundred writes a second in total. With 8 shards and a batch
     * interval of 5 ms, the interval alone would allow 1,600.
     */
    private static final int WRITES_PER_SECOND = 240;

    /**
     * Returns settings with a retention of 24 h and 8 MB per shard. Every update rewrites the open
     * segment, so it is sealed at 16 KB; smaller segments would noticeably increase the number of
     * writes.
     */
    public static ClaimSettings of(int shards, Duration batchInterval) {
        return new ClaimSettings(
                shards, batchInterval, WRITES_PER_SECOND, Duration.ofHours(24), 16_384, 8 << 20);
    }

    /**
     * Returns the limit for one shard, an equal share of the total rate; after a second without
     * writes, a burst of one second's share is allowed.
     */
    WriteRateLimit writeRateLimit() {
        double share = (double) writesPerSecond / shards;
        return WriteRateLimit.of(batchInterval, share, (int) Math.max(1, share));
    }
}
