package org.sesamedeck.claim;

import java.util.ArrayList;
import java.util.List;

/**
 * Consecutive segments of one owner. A shard stores its segment list as ranges, so that the list,
 * which is part of every update, grows with the number of owners and not of segments.
 *
 * @param epoch epoch of the owner that sealed them
 * @param first number of the oldest segment
 * @param last number of the newest segment
 */
record SegmentRange(long epoch, long first, long last) {
    static List<SegmentRange> of(List<SegmentReference> segments) {
        List<SegmentRange> ranges = new ArrayList<>();
        for (SegmentReference segment : segments) {
            int end = ranges.size() - 1;
            if (end >= 0
                    && ranges.get(end).epoch() == segment.epoch()
                    && ranges.get(end).last() + 1 == segment.number()) {
                ranges.set(
                        end,
                        new SegmentRange(
                                segment.epoch(), ranges.get(end).first(), segment.number()));
            } else {
                ranges.add(new SegmentRange(segment.epoch(), segment.number(), segment.number()));
            }
        }
        return ranges;
    }
}
