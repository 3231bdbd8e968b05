package org.sesamedeck.lease;

/**
 * Listener that is called on the control thread, at most once, when a lease ends without a release.
 */
public interface LeaseListener {
    /**
     * Called when this process is no longer the holder.
     *
     * @param lease the lease; its {@code remaining()} is zero
     * @param reason why the lease ended, for the log
     */
    void onLost(Lease lease, String reason);
}
