package org.sesamedeck.routing.locality;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Fraction of the requests that stayed in the domain at the time to which the present loads belong.
 * The inflow of the domain divided by it is what all its requests would bring.
 */
final class RetainedFraction {
    /** About the age of the loads of other processes. */
    private static final long LOAD_AGE_NANOS = Duration.ofMillis(400).toNanos();

    /** Bounds the estimate under a share near 1, when hardly any arrivals are seen. */
    private static final double MIN_FRACTION = 0.2;

    private final ArrayDeque<Share> mShares = new ArrayDeque<>();
    private double mFraction = 1;

    /** A share that was in force from a time on. */
    private record Share(long sinceNanos, double share) {}

    /**
     * Records the share that was in force until now.
     *
     * @param elapsed time since the last call, in nanoseconds
     */
    void record(long now, double share, double elapsed) {
        mShares.addLast(new Share(now, share));
        while (mShares.size() > 1 && now - mShares.peekFirst().sinceNanos() > LOAD_AGE_NANOS) {
            mShares.removeFirst();
        }
        // Smoothed as the inflow, so that both lag alike.
        double rate = 1 - Math.exp(-elapsed / DomainTrend.INFLOW_NANOS);
        mFraction += rate * (1 - mShares.peekFirst().share() - mFraction);
    }

    /** Returns the fraction, from 0.2 to 1. */
    double fraction() {
        return Math.max(MIN_FRACTION, mFraction);
    }
}
