package org.sesamedeck.lease;

/**
 * What a new holder knows about the previous one.
 *
 * @param node name of the former holder's node; empty when there was none
 * @param isReleased whether the former holder released the lease, or there was none
 * @param lastSeenNanos monotonic time at which this process first saw the last version of the
 *     former holder, in nanoseconds of the injected clock
 */
public record FormerHolder(String node, boolean isReleased, long lastSeenNanos) {
    /** Returns the value for a lease without a former holder. */
    public static FormerHolder none(long nowNanos) {
        return new FormerHolder("", true, nowNanos);
    }
}
