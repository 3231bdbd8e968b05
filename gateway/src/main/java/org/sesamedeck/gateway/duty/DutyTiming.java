package org.sesamedeck.gateway.duty;

import java.time.Duration;

/**
 * The times of the holder of the duties, all derived from the lease: the time within which two
 * processes must not act in turn.
 *
 * <p>A right ends 0.6 leases after its conditional write was begun, and a call on it is abandoned
 * 0.4 leases after it was begun, so no call of a holder is on its way one lease after its last
 * confirmed write began. A successor waits four thirds of the lease from when it saw that write.
 *
 * @param lease the lease
 */
public record DutyTiming(Duration lease) {
    /** Returns the time from the start of a conditional write until the right from it ends. */
    public Duration rightTime() {
        return lease.multipliedBy(6).dividedBy(10);
    }

    /** Returns the time after which a call to the platform is abandoned. */
    public Duration callTimeout() {
        return lease.multipliedBy(4).dividedBy(10);
    }

    /** Returns the maximum time between two conditional writes of the holder. */
    public Duration confirmInterval() {
        return lease.dividedBy(2);
    }

    /**
     * Returns the time for which a record must stay unchanged before another process takes over.
     */
    public Duration takeoverTime() {
        return lease.multipliedBy(4).dividedBy(3);
    }

    /** Returns the time between two reads of the process that is first in line. */
    public Duration pollInterval() {
        return lease.dividedBy(3);
    }

    /**
     * Returns the time between two reads while the outcome of a write or the holder is in doubt.
     */
    public Duration retryInterval() {
        return lease.dividedBy(6);
    }

    /** Returns the additional time that each process waits behind the one before it in line. */
    public Duration rankDelay() {
        return lease.dividedBy(10);
    }

    /**
     * Returns the difference between the times that the monotonic clock and the time of day show
     * for the age of a right from which on the right is not used.
     */
    public Duration clockTolerance() {
        return lease.dividedBy(10);
    }
}
