package org.sesamedeck.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Content of a shard's object: the open segment and the references to sealed segments. */
final class ShardState {
    private final Map<String, ClaimEntry> mOpenEntries = new LinkedHashMap<>();
    private final Map<String, String> mFormattedEntries = new LinkedHashMap<>();
    private final List<SegmentReference> mSegments = new ArrayList<>();
    private String mPendingSegment = "";
    private long mOpenBytes;

    private ShardState() {}

    static ShardState empty() {
        return new ShardState();
    }

    /** Reads the open segment from a stored value; {@link #addSegment} adds sealed segments. */
    static ShardState parse(ShardHeader header, String value) {
        ShardState state = new ShardState();
        state.mPendingSegment = header.pendingSegment();
        value.lines().skip(1).map(ClaimEntry::parse).forEach(state::put);
        return state;
    }

    void put(ClaimEntry entry) {
        String line = entry.format();
        mOpenEntries.put(entry.key(), entry);
        String former = mFormattedEntries.put(entry.key(), line);
        mOpenBytes += line.length() + 1 - (former == null ? 0 : former.length() + 1);
    }

    /**
     * Adds a reference to a sealed segment and removes its entries from the open segment, except
     * those that were replaced after the segment was written.
     */
    void seal(SegmentReference segment, Collection<ClaimEntry> entries) {
        for (ClaimEntry entry : entries) {
            if (mOpenEntries.get(entry.key()) == entry) {
                mOpenEntries.remove(entry.key());
                mOpenBytes -= mFormattedEntries.remove(entry.key()).length() + 1;
            }
        }
        mSegments.add(segment);
        mPendingSegment = "";
    }

    /** Adds a segment that was sealed by a former owner. */
    void addSegment(SegmentReference segment) {
        mSegments.add(segment);
    }

    Collection<ClaimEntry> openEntries() {
        return mOpenEntries.values();
    }

    long openBytes() {
        return mOpenBytes;
    }

    List<SegmentReference> segments() {
        return mSegments;
    }

    String pendingSegment() {
        return mPendingSegment;
    }

    void setPendingSegment(String name) {
        mPendingSegment = name;
    }

    String format(ShardHeader header) {
        StringBuilder value = new StringBuilder((int) mOpenBytes + 1024);
        value.append(header.format()).append('\n');
        mFormattedEntries.values().forEach(line -> value.append(line).append('\n'));
        return value.toString();
    }
}
