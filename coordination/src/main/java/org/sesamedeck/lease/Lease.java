package org.sesamedeck.lease;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.platform.ObjectKey;

/**
 * A held lease. It is renewed until it is released or lost, and never becomes valid again after
 * that.
 */
public interface Lease {
    /** Returns the object that holds the lease and its payload. */
    ObjectKey key();

    /**
     * Returns the version of the object at acquisition. It is larger than the fencing number of
     * every earlier holder.
     */
    long fencingNumber();

    /**
     * Returns how long this process may still act as the holder without a further renewal; zero
     * once the lease is lost or released. Measured in monotonic time from the instant before the
     * last successful write was sent. Thread-safe.
     */
    Duration remaining();

    /** Returns whether {@link #remaining()} is above zero. Thread-safe. */
    default boolean isHeld() {
        return !remaining().isZero();
    }

    /** Returns what was known about the former holder at acquisition. */
    FormerHolder formerHolder();

    /**
     * Returns the nodes of earlier holders, the last one included, whose lease ended without a
     * release and that have not been settled since. A process on such a node may still act on a
     * lease check that it made while it held the lease.
     */
    List<String> unsettled();

    /**
     * Removes nodes from the unsettled ones, once a late action of a process on them is impossible
     * or harmless. A user of the lease that relies on conditional updates only should settle all
     * nodes right after acquisition, so that the list does not grow.
     *
     * @return as for {@link #change}
     */
    CompletableFuture<Long> settle(Collection<String> nodes);

    /**
     * Returns the payload with all changes that were sent to the store, including those that are
     * not yet known to be durable; an empty string when no payload was ever written.
     */
    String payload();

    /**
     * Changes the payload. Changes are applied in order; all changes that are pending when a write
     * starts share that write, and each write renews the lease. Store outages only delay a change.
     *
     * @return completes with a version that contains the change; fails with LEASE_LOST when the
     *     lease ended before the change was known to be durable, in which case it may still have
     *     taken effect
     */
    CompletableFuture<Long> change(PayloadChange change);

    /**
     * Releases the lease, so that a successor does not have to wait. The lease counts as ended at
     * once; the future completes when the release is durable, or fails with LEASE_LOST when the
     * lease expires first.
     */
    CompletableFuture<Void> release();
}
