package org.sesamedeck.claim;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.OwnedObject;

/**
 * Seals the open segment of a shard to keep it small, and drops old segments.
 *
 * <p>Sealing takes three writes: the shard records the name of the segment that is about to be
 * written, the segment is created, and the shard replaces the entries by a reference. After a crash
 * in between, the entries are still in the open segment, and a named segment without a reference is
 * deleted by the next owner. Claims without an outcome whose deadline has not passed stay in the
 * open segment, so dropping a segment never loses the claim of a running request.
 */
final class SegmentSealer {
    private static final Logger LOGGER = System.getLogger(SegmentSealer.class.getName());
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Limits sealing to one segment per second and shard, unless the open segment is large. */
    private static final Duration SEAL_INTERVAL = Duration.ofSeconds(1);

    /**
     * Size above which the open segment is sealed without waiting for the interval, because each
     * update rewrites all of it.
     */
    private static final long LARGE_SEGMENT_BYTES = 256 * 1024;

    private final ClaimContext mContext;
    private final int mShard;
    private final ShardOwner mOwner;
    private final OwnedObject<ShardState> mObject;
    private final Consumer<ClaimEntry> mOnDropped;
    private final Map<SegmentReference, List<ClaimEntry>> mSealedEntries = new HashMap<>();

    /** Whether a segment is being sealed or dropped; only one such change runs at a time. */
    private boolean mIsSegmentChangePending;

    private boolean mIsStopped;
    private long mSegmentCount;
    private long mLastSealMillis;

    private SegmentSealer(
            ClaimContext context,
            int shard,
            ShardOwner owner,
            OwnedObject<ShardState> object,
            Consumer<ClaimEntry> onDropped) {
        mContext = context;
        mShard = shard;
        mOwner = owner;
        mObject = object;
        mOnDropped = onDropped;
    }

    static SegmentSealer of(
            ClaimContext context,
            int shard,
            ShardOwner owner,
            OwnedObject<ShardState> object,
            Consumer<ClaimEntry> onDropped) {
        return new SegmentSealer(context, shard, owner, object, onDropped);
    }

    /**
     * Adds the segments that were read when the shard was acquired, and deletes a segment that the
     * former owner did not finish.
     *
     * @param sealedEntries entries of the segments, in the order of the segment list
     */
    void loadSegments(List<List<ClaimEntry>> sealedEntries) {
        ShardState state = mObject.state();
        for (int i = 0; i < sealedEntries.size(); i++) {
            mSealedEntries.put(state.segments().get(i), sealedEntries.get(i));
        }
        String unfinished = state.pendingSegment();
        if (!unfinished.isEmpty()) {
            mObject.change((changed, baseVersion) -> changed.setPendingSegment(""))
                    .thenAccept(version -> deleteSegment(unfinished))
                    .exceptionally(SegmentSealer::logFailure);
        }
    }

    void stop() {
        mIsStopped = true;
    }

    /** Seals and drops segments when due; called after each durable write. */
    void sealAndDrop() {
        if (mIsSegmentChangePending || mIsStopped) {
            return;
        }
        long nowMillis = mOwner.shardMillis();
        long openBytes = mObject.state().openBytes();
        boolean isDue = nowMillis - mLastSealMillis >= SEAL_INTERVAL.toMillis();
        if (openBytes > LARGE_SEGMENT_BYTES
                || (isDue && openBytes > mContext.settings().segmentBytes())) {
            seal(nowMillis);
        }
        dropOldestSegment();
    }

    private void seal(long nowMillis) {
        List<ClaimEntry> entries = new ArrayList<>();
        for (ClaimEntry entry : mObject.state().openEntries()) {
            boolean isRunning =
                    entry.state() == ClaimEntry.StoredState.CLAIMED
                            && entry.deadlineMillis() > nowMillis;
            if (!isRunning) {
                entries.add(entry);
            }
        }
        mLastSealMillis = nowMillis;
        String value = SealedSegment.format(nowMillis, entries);
        if (value.length() < mContext.settings().segmentBytes() / 2) {
            // Most requests are still running, so their claims must stay in the open segment.
            return;
        }
        mIsSegmentChangePending = true;
        mSegmentCount++;
        SegmentReference segment =
                new SegmentReference(mOwner.epoch(), mSegmentCount, value.length(), nowMillis);
        String name = nameOf(segment);
        mObject.change((state, baseVersion) -> state.setPendingSegment(name))
                .thenAccept(version -> createSegment(segment, entries, value))
                .exceptionally(SegmentSealer::logFailure);
    }

    private String nameOf(SegmentReference segment) {
        return SegmentReference.name(mShard, segment.epoch(), segment.number());
    }

    private void createSegment(SegmentReference segment, List<ClaimEntry> entries, String value) {
        if (mIsStopped) {
            return;
        }
        mContext.onControlThread(
                mContext.store().create(ClaimContext.segmentKey(nameOf(segment)), value),
                version -> addReference(segment, entries),
                failure -> {
                    // Only this owner uses the name, and always with the same value, so a
                    // conflict means that an earlier attempt of this write took effect.
                    if (failure.code() == ResultCode.VERSION_CONFLICT) {
                        addReference(segment, entries);
                        return;
                    }
                    mContext.scheduler()
                            .schedule(
                                    failure.retryAfter().orElse(RETRY_DELAY),
                                    () -> createSegment(segment, entries, value));
                });
    }

    private void addReference(SegmentReference segment, List<ClaimEntry> entries) {
        if (mIsStopped) {
            return;
        }
        mObject.change((state, baseVersion) -> state.seal(segment, entries))
                .thenAccept(
                        version -> {
                            mSealedEntries.put(segment, entries);
                            mIsSegmentChangePending = false;
                        })
                .exceptionally(SegmentSealer::logFailure);
    }

    private void dropOldestSegment() {
        List<SegmentReference> segments = mObject.state().segments();
        if (mIsSegmentChangePending || segments.isEmpty()) {
            return;
        }
        SegmentReference oldest = segments.get(0);
        long bytes = segments.stream().mapToLong(SegmentReference::bytes).sum();
        boolean isOld =
                mOwner.shardMillis() - oldest.sealedMillis()
                        > mContext.settings().retention().toMillis();
        if (!isOld && bytes <= mContext.settings().shardBytes()) {
            return;
        }
        mIsSegmentChangePending = true;
        mObject.change((state, baseVersion) -> state.segments().remove(oldest))
                .thenAccept(
                        version -> {
                            mIsSegmentChangePending = false;
                            List<ClaimEntry> dropped = mSealedEntries.remove(oldest);
                            if (dropped != null) {
                                dropped.forEach(mOnDropped);
                            }
                            deleteSegment(nameOf(oldest));
                        })
                .exceptionally(SegmentSealer::logFailure);
    }

    /** Deletes an unreferenced segment; if that fails, the object remains and is harmless. */
    private void deleteSegment(String name) {
        ObjectKey key = ClaimContext.segmentKey(name);
        mContext.store()
                .get(key)
                .thenAccept(
                        found ->
                                found.ifPresent(
                                        stored ->
                                                mContext.store()
                                                        .delete(key, stored.version())
                                                        .exceptionally(SegmentSealer::logFailure)))
                .exceptionally(SegmentSealer::logFailure);
    }

    private static Void logFailure(Throwable failure) {
        LOGGER.log(Level.DEBUG, "sealing or dropping a claim segment failed: {0}", failure);
        return null;
    }
}
