package org.sesamedeck.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.StoredObject;
import org.sesamedeck.platform.StoredVersion;

/**
 * Makes this process the owner of a shard. The owner is written before the sealed segments are
 * read, so that no other process can drop them any more.
 */
final class ShardAcquisition {
    private static final int PARALLEL_READS = 8;

    private final ClaimContext mContext;
    private final int mShard;
    private final String mToken;
    private final CompletableFuture<ClaimShard> mResult = new CompletableFuture<>();
    private final List<List<ClaimEntry>> mSealedEntries = new ArrayList<>();

    private ShardAcquisition(ClaimContext context, int shard, String token) {
        mContext = context;
        mShard = shard;
        mToken = token;
    }

    /**
     * Acquires a shard.
     *
     * @param token token that is unique for this acquisition and becomes the owner token
     */
    static CompletableFuture<ClaimShard> start(ClaimContext context, int shard, String token) {
        ShardAcquisition acquisition = new ShardAcquisition(context, shard, token);
        acquisition.read();
        return acquisition.mResult;
    }

    private void read() {
        mContext.onControlThread(mContext.store().get(key()), this::writeOwner, this::fail);
    }

    private void writeOwner(Optional<StoredObject> found) {
        long nowNanos = mContext.clock().nanoTime();
        ShardState state;
        ShardOwner owner;
        Optional<ShardHeader> header;
        try {
            header =
                    found.map(
                            stored ->
                                    ShardHeader.parse(
                                            stored.value().lines().findFirst().orElse("")));
            state =
                    header.map(read -> ShardState.parse(read, found.get().value()))
                            .orElseGet(ShardState::empty);
            owner =
                    new ShardOwner(
                            mToken,
                            found.map(StoredObject::version).orElse(0L),
                            mContext.clock(),
                            header.map(ShardHeader::millis).orElse(0L),
                            nowNanos);
        } catch (SesamedeckException unreadable) {
            fail(unreadable);
            return;
        }
        List<SegmentRange> ranges = header.map(ShardHeader::segments).orElse(List.of());
        String value = owner.format(state, 0, ranges);
        CompletableFuture<Long> write =
                found.isPresent()
                        ? mContext.store().update(key(), found.get().version(), value)
                        : mContext.store().create(key(), value);
        mContext.onControlThread(
                write,
                version -> readSegments(owner, state, version, ranges),
                failure -> {
                    if (failure.code() == ResultCode.STORE_OUTCOME_UNKNOWN) {
                        readBack(owner, state, ranges, failure);
                    } else {
                        fail(failure);
                    }
                });
    }

    /** Finds out whether the write whose response was lost made this process the owner. */
    private void readBack(
            ShardOwner owner,
            ShardState state,
            List<SegmentRange> ranges,
            SesamedeckException failure) {
        mContext.onControlThread(
                mContext.store().get(key()),
                found -> {
                    boolean isOwned =
                            found.flatMap(stored -> owner.ownChanges(stored.value())).isPresent();
                    if (isOwned) {
                        readSegments(owner, state, found.get().version(), ranges);
                    } else {
                        fail(failure);
                    }
                },
                this::fail);
    }

    private void readSegments(
            ShardOwner owner, ShardState state, long version, List<SegmentRange> ranges) {
        Deque<SegmentRange> singleSegments = new ArrayDeque<>();
        for (SegmentRange range : ranges) {
            for (long number = range.first(); number <= range.last(); number++) {
                singleSegments.add(new SegmentRange(range.epoch(), number, number));
            }
        }
        readNextBatch(
                singleSegments,
                state,
                () ->
                        mResult.complete(
                                ClaimShard.start(
                                        mContext,
                                        mShard,
                                        new StoredVersion(key(), version),
                                        owner,
                                        state,
                                        mSealedEntries)));
    }

    /** Reads the remaining segments in order, in batches of {@link #PARALLEL_READS}. */
    private void readNextBatch(Deque<SegmentRange> remaining, ShardState state, Runnable onRead) {
        if (remaining.isEmpty()) {
            onRead.run();
            return;
        }
        List<SegmentRange> batch = new ArrayList<>();
        List<CompletableFuture<Optional<StoredObject>>> reads = new ArrayList<>();
        while (!remaining.isEmpty() && batch.size() < PARALLEL_READS) {
            SegmentRange segment = remaining.remove();
            batch.add(segment);
            String name = SegmentReference.name(mShard, segment.epoch(), segment.first());
            reads.add(mContext.store().get(ClaimContext.segmentKey(name)));
        }
        mContext.onControlThread(
                CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)),
                nothing -> {
                    try {
                        for (int i = 0; i < batch.size(); i++) {
                            addSegment(batch.get(i), reads.get(i).join(), state);
                        }
                    } catch (SesamedeckException unreadable) {
                        fail(unreadable);
                        return;
                    }
                    readNextBatch(remaining, state, onRead);
                },
                this::fail);
    }

    private void addSegment(SegmentRange segment, Optional<StoredObject> found, ShardState state) {
        // The acquisition fails if a segment is missing: its claims could be granted again.
        String value =
                found.orElseThrow(
                                () ->
                                        SesamedeckException.of(
                                                ResultCode.STORE_UNAVAILABLE,
                                                segment + " of shard " + mShard + " is missing"))
                        .value();
        long sealedMillis = SealedSegment.sealedMillis(value);
        state.addSegment(
                new SegmentReference(
                        segment.epoch(), segment.first(), value.length(), sealedMillis));
        mSealedEntries.add(SealedSegment.entries(value));
    }

    private ObjectKey key() {
        return ClaimContext.shardKey(mShard);
    }

    private void fail(SesamedeckException failure) {
        mResult.completeExceptionally(failure);
    }
}
