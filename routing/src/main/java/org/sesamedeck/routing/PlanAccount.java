package org.sesamedeck.routing;

import java.time.Duration;
import org.sesamedeck.core.Plan;

/** Limits and usage of one plan in this process. Not thread-safe. */
final class PlanAccount {
    /** Decay time of the averages that give this process's part of the fleet's demand. */
    private static final double DEMAND_AVERAGING_SECONDS = 5;

    /**
     * Minimum part of the limits when other processes receive the plan's traffic, as a fraction of
     * an even split.
     */
    private static final double MIN_FRACTION = 0.1;

    private final TokenBucket mRequests;
    private final TokenBucket mTokens;
    private Plan mPlan;
    private double mDemandFraction;
    private double mOwnDemand;
    private double mFleetDemand;
    private double mDemandSinceTotals;
    private int mInFlight;
    private int mWaiting;
    private double mUsedMicros;
    private double mDemandedMicros;
    private long mRequestCount;
    private long mTokenCount;

    PlanAccount(Plan plan, double fraction, long nowNanos) {
        mPlan = plan;
        mDemandFraction = fraction;
        mRequests = TokenBucket.of(plan.requestsPerMinute() * fraction, nowNanos);
        mTokens = TokenBucket.of(plan.tokensPerMinute() * fraction, nowNanos);
    }

    Plan plan() {
        return mPlan;
    }

    void setPlan(Plan plan, long nowNanos) {
        mPlan = plan;
        scaleLimits(nowNanos);
    }

    /**
     * Adds the fleet's demand over an interval and scales the limits by this process's part of it.
     */
    void updateFleetDemand(double fleetMicros, double seconds, int entries, long nowNanos) {
        double decay = Math.exp(-seconds / DEMAND_AVERAGING_SECONDS);
        mOwnDemand = mOwnDemand * decay + mDemandSinceTotals;
        mFleetDemand = mFleetDemand * decay + fleetMicros;
        mDemandSinceTotals = 0;
        double evenSplit = 1.0 / Math.max(1, entries);
        double fraction = mFleetDemand <= 0 ? evenSplit : Math.min(1, mOwnDemand / mFleetDemand);
        mDemandFraction = Math.max(fraction, evenSplit * MIN_FRACTION);
        scaleLimits(nowNanos);
    }

    private void scaleLimits(long nowNanos) {
        mRequests.setPerMinute(mPlan.requestsPerMinute() * mDemandFraction, nowNanos);
        mTokens.setPerMinute(mPlan.tokensPerMinute() * mDemandFraction, nowNanos);
    }

    double ownDemand() {
        return mOwnDemand;
    }

    double fleetDemand() {
        return mFleetDemand;
    }

    void recordDemand(double micros) {
        mDemandedMicros += micros;
        mDemandSinceTotals += micros;
        mRequestCount++;
    }

    /**
     * Charges a request to the limits if it fits. Returns zero, or how long to wait when it does
     * not fit.
     */
    Duration chargeLimits(long tokens, long nowNanos) {
        Duration wait = mRequests.timeUntilAvailable(1, nowNanos);
        Duration tokenWait = mTokens.timeUntilAvailable(tokens, nowNanos);
        if (tokenWait.compareTo(wait) > 0) {
            wait = tokenWait;
        }
        if (mInFlight + mWaiting
                >= Math.max(1, Math.floor(mPlan.concurrentRequests() * mDemandFraction))) {
            wait = wait.isZero() ? Duration.ofSeconds(1) : wait;
        }
        if (wait.isZero()) {
            mRequests.take(1);
            mTokens.take(tokens);
        }
        return wait;
    }

    void addWaiting(int change) {
        mWaiting += change;
    }

    void admitted(double micros, long tokens) {
        mInFlight++;
        mUsedMicros += micros;
        mTokenCount += tokens;
    }

    void corrected(double micros, long tokens) {
        mUsedMicros += micros;
        mTokenCount += tokens;
        mTokens.take(tokens);
    }

    void closed() {
        mInFlight--;
    }

    UsageSnapshot.PlanUsage takeUsage() {
        // A correction may exceed the interval's usage; the remainder is carried to the next
        // interval.
        double used = Math.max(0, mUsedMicros);
        long tokens = Math.max(0, mTokenCount);
        UsageSnapshot.PlanUsage usage =
                new UsageSnapshot.PlanUsage(
                        Math.round(used),
                        Math.round(mDemandedMicros),
                        mInFlight,
                        mRequestCount,
                        tokens);
        mUsedMicros -= used;
        mTokenCount -= tokens;
        mDemandedMicros = 0;
        mRequestCount = 0;
        return usage;
    }
}
