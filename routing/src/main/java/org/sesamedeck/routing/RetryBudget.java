package org.sesamedeck.routing;

/**
 * Limits retries to a fraction of the requests, so that retries do not multiply the load during an
 * outage. Thread-safe.
 */
public final class RetryBudget {
    /**
     * Retries available after an idle period; enough for a single engine that fails under low
     * traffic.
     */
    private static final double DEFAULT_BURST = 10;

    private final double mRatio;
    private double mBurst;
    private double mBalance;

    private RetryBudget(double ratio, double burst) {
        mRatio = ratio;
        mBurst = burst;
        mBalance = burst;
    }

    /** Returns the default budget: retries are at most 10% of requests, plus a burst of 10. */
    public static RetryBudget create() {
        return of(0.1);
    }

    /**
     * Returns a budget with another ratio of retries to requests.
     *
     * @throws IllegalArgumentException if the ratio is not between 0 and 1
     */
    public static RetryBudget of(double ratio) {
        return of(ratio, DEFAULT_BURST);
    }

    /**
     * Returns a budget that allows at most {@code burst} retries beyond the ratio in any interval.
     * Processes that share a limit each get a part of it.
     *
     * @param burst retries available after an idle period
     * @throws IllegalArgumentException if the ratio is not between 0 and 1 or the burst is negative
     */
    public static RetryBudget of(double ratio, double burst) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("retry ratio " + ratio + " is not between 0 and 1");
        }
        if (!(burst >= 0)) {
            throw new IllegalArgumentException("retry burst " + burst + " is negative");
        }
        return new RetryBudget(ratio, burst);
    }

    /**
     * Sets the maximum number of accumulated retries, for example when the number of processes
     * changes.
     */
    public synchronized void setBurst(double burst) {
        mBurst = burst;
        mBalance = Math.min(mBalance, burst);
    }

    /** Records a request of a caller; not called for retries. */
    public synchronized void recordRequest() {
        mBalance = Math.min(mBurst, mBalance + mRatio);
    }

    /** Withdraws one retry from the budget. Returns false when none is available. */
    public synchronized boolean tryRetry() {
        if (mBalance < 1) {
            return false;
        }
        mBalance -= 1;
        return true;
    }
}
