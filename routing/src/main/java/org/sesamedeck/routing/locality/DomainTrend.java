package org.sesamedeck.routing.locality;

import java.time.Duration;

/** Smoothed wait of a failure domain and the rate at which work arrives at its endpoints. */
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
    void observe(DomainPressure pressure, double elapsed) {
        if (!mIsKnown) {
            mWaitNanos = pressure.waitNanos();
            mInflow = pressure.busyFraction();
        } else if (elapsed > 0) {
            mWaitNanos += part(elapsed, WAIT_NANOS) * (pressure.waitNanos() - mWaitNanos);
            if (pressure.endpoints() == mEndpoints) {
                double inflow =
                        (pressure.workNanos() - mWorkNanos) / elapsed + pressure.busyFraction();
                mInflow += part(elapsed, INFLOW_NANOS) * (inflow - mInflow);
            }
        }
        mIsKnown = true;
        mEndpoints = pressure.endpoints();
        mWorkNanos = pressure.workNanos();
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
