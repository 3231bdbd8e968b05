package org.sesamedeck.claim;

/**
 * Reference to a sealed segment of a shard.
 *
 * @param epoch epoch of the owner that sealed it
 * @param number sequence number under this owner, starting at 1 without gaps
 * @param bytes size of the segment
 * @param sealedMillis shard time at which it was sealed
 */
record SegmentReference(long epoch, long number, long bytes, long sealedMillis) {
    /** Returns the name of the object of kind {@code claim-segment}. */
    static String name(int shard, long epoch, long number) {
        return shard + "-" + epoch + "." + number;
    }
}
