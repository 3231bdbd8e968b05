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
    private static final double DEFAULT_MAX_BALANCE = 10;

    private final double mRatio;
    private double mMaxBalance;
    private double mBalance;

    private RetryBudget(double ratio, double maxBalance) {
        mRatio = ratio;
        mMaxBalance = maxBalance;
        mBalance = maxBalance;
    }

    /** Returns the default budget: retries are at most 10% of requests. */
    public static RetryBudget create() {
        return of(0.1);
    }

    /**
     * Returns a budget with another ratio of retries to requests.
     *
     * @throws IllegalArgumentException if the ratio is not between 0 and 1
     */
    public static RetryBudget of(double ratio) {
        return of(ratio, DEFAULT_MAX_BALANCE);
    }

    /**
     * Returns a budget that allows at most {@code maxBalance} retries beyond the ratio in any
     * interval. Processes that share a limit each get a part of it.
     *
     * @param maxBalance retries available after an idle period
     * @throws IllegalArgumentException if the ratio is not between 0 and 1 or the balance is
     *     negative
     */
    public static RetryBudget of(double ratio, double maxBalance) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("retry ratio " + ratio + " is not between 0 and 1");
        }
        if (!(maxBalance >= 0)) {
            throw new IllegalArgumentException(
                    "maximum retry balance " + maxBalance + " is negative");
        }
        return new RetryBudget(ratio, maxBalance);
    }

    /**
     * Sets the maximum number of accumulated retries, for example when the number of processes
     * changes.
     */
    public synchronized void setMaxBalance(double maxBalance) {
        mMaxBalance = maxBalance;
        mBalance = Math.min(mBalance, maxBalance);
    }

    /** Records a request of a caller; not called for retries. */
    public synchronized void recordRequest() {
        mBalance = Math.min(mMaxBalance, mBalance + mRatio);
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
