package org.sesamedeck.routing.locality;

import java.time.Duration;

/**
 * Smoothed wait of a group of failure domains and the rate at which work arrives at its endpoints.
 */
final class DomainTrend {
    /** Decay time of the mean of the wait, which jumps with each prompt. */
    private static final double WAIT_NANOS = Duration.ofMillis(200).toNanos();

    /** Decay time of the mean of the inflow, which is a difference of noisy values. */
    static final double INFLOW_NANOS = Duration.ofMillis(300).toNanos();

    private boolean mIsKnown;
    private int mEndpoints;
    private double mWorkNanos;
    private double mWaitNanos;
    private double mInflow;

    /**
     * Records the present load.
     *
     * @param elapsed time since the last call, in nanoseconds
     */
    void observe(DomainGroup group, double elapsed) {
        if (!mIsKnown) {
            mWaitNanos = group.waitNanos();
            mInflow = group.busyFraction();
        } else if (elapsed > 0) {
            mWaitNanos += part(elapsed, WAIT_NANOS) * (group.waitNanos() - mWaitNanos);
            if (group.endpoints() == mEndpoints) {
                double inflow = (group.workNanos() - mWorkNanos) / elapsed + group.busyFraction();
                mInflow += part(elapsed, INFLOW_NANOS) * (inflow - mInflow);
            }
        }
        mIsKnown = true;
        mEndpoints = group.endpoints();
        mWorkNanos = group.workNanos();
    }

    private static double part(double elapsed, double decayNanos) {
        return 1 - Math.exp(-elapsed / decayNanos);
    }

    double waitNanos() {
        return mWaitNanos;
    }

    /**
     * Returns the work that arrives at the endpoints, as a multiple of what they can do: as fast as
     * the work there grows plus what they do meanwhile.
     */
    double inflow() {
        return Math.max(0, mInflow);
    }

    int endpoints() {
        return mEndpoints;
    }
}
