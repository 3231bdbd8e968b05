package org.sesamedeck.lease;

/** Receives the loss of a lease. Called on the control thread, at most once per lease. */
public interface LeaseListener {
    /**
     * Called when a lease expired or its object has another owner or cannot be written, unless this
     * process was releasing it.
     *
     * @param lease the lease; its {@code remaining()} is zero
     * @param reason why the lease was lost, for the log
     */
    void onLost(Lease lease, String reason);
}
