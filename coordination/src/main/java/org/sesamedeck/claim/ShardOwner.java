package org.sesamedeck.claim;

import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.OwnedStateCodec;

/**
 * Identity of a shard's owner, and the shard time. Shard time advances only while the shard has an
 * owner, by the owner's monotonic clock, so ages and deadlines survive a change of owner without
 * comparing the clocks of two hosts; they can only be reached late.
 *
 * @param token token that is unique for each acquisition
 * @param epoch object version that the acquisition replaced
 * @param clock clock of this process
 * @param baseMillis shard time at the acquisition
 * @param baseNanos monotonic time at the acquisition
 */
record ShardOwner(String token, long epoch, Clock clock, long baseMillis, long baseNanos)
        implements OwnedStateCodec<ShardState> {
    long shardMillis() {
        return baseMillis + (clock.nanoTime() - baseNanos) / 1_000_000;
    }

    @Override
    public String format(ShardState state, long changes) {
        return format(state, changes, SegmentRange.of(state.segments()));
    }

    String format(ShardState state, long changes, List<SegmentRange> segments) {
        return state.format(
                new ShardHeader(
                        token, epoch, changes, shardMillis(), state.pendingSegment(), segments));
    }

    @Override
    public Optional<Long> ownChanges(String value) {
        try {
            ShardHeader header = ShardHeader.parse(value.lines().findFirst().orElse(""));
            return token.equals(header.owner()) ? Optional.of(header.changes()) : Optional.empty();
        } catch (SesamedeckException foreignValue) {
            return Optional.empty();
        }
    }
}
