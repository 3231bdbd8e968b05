package org.sesamedeck.lease;

/** A change of the payload of a lease. */
public interface PayloadChange {
    /**
     * Returns the new payload.
     *
     * @param payload the payload with all earlier changes; an empty string when there is none
     * @param baseVersion the newest version known to be durable: at least the lease's fencing
     *     number, and above the base version of every change that was confirmed before this one was
     *     submitted
     */
    String apply(String payload, long baseVersion);
}
