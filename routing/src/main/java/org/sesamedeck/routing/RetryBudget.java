package org.sesamedeck.routing;

/**
 * Bounds retries to a part of the requests, so that an outage does not multiply the load.
 * Thread-safe.
 */
public final class RetryBudget {
    /** Retries possible after a quiet time; covers a single engine that fails under low traffic. */
    private static final double MAX_SAVED = 10;

    private final double mRatio;
    private double mMaxSaved;
    private double mSaved;

    private RetryBudget(double ratio, double maxSaved) {
        mRatio = ratio;
        mMaxSaved = maxSaved;
        mSaved = maxSaved;
    }

    /** Returns the budget of the design: retries are at most 10% of requests. */
    public static RetryBudget create() {
        return of(0.1);
    }

    /**
     * Returns a budget with another ratio of retries to requests.
     *
     * @throws IllegalArgumentException if the ratio is not between 0 and 1
     */
    public static RetryBudget of(double ratio) {
        return of(ratio, MAX_SAVED);
    }

    /**
     * Returns a budget that allows at most {@code maxSaved} retries beyond the ratio in any span of
     * time. Processes that share a bound each take a part of it.
     *
     * @param maxSaved retries possible after a quiet time
     * @throws IllegalArgumentException if the ratio is not between 0 and 1 or the other is negative
     */
    public static RetryBudget of(double ratio, double maxSaved) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("retry ratio " + ratio + " is not between 0 and 1");
        }
        if (!(maxSaved >= 0)) {
            throw new IllegalArgumentException("saved retries " + maxSaved + " is negative");
        }
        return new RetryBudget(ratio, maxSaved);
    }

    /** Changes how many retries may be saved, as when the number of processes changes. */
    public synchronized void limitSaved(double maxSaved) {
        mMaxSaved = maxSaved;
        mSaved = Math.min(mSaved, maxSaved);
    }

    /** Records a request of a caller; retries do not count. */
    public synchronized void recordRequest() {
        mSaved = Math.min(mMaxSaved, mSaved + mRatio);
    }

    /** Takes one retry from the budget, if there is one. */
    public synchronized boolean tryRetry() {
        if (mSaved < 1) {
            return false;
        }
        mSaved -= 1;
        return true;
    }
}
