package org.sesamedeck.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Compares the engine time that each plan used across the fleet with what it was owed, and computes
 * a correction of the plan's weight that compensates for the difference. Not thread-safe.
 *
 * <p>The engine time that a plan is owed: the time used by all plans is divided by share among the
 * plans with demand; what a plan does not demand is lent to the others in proportion to their
 * shares. Lent time is not paid back: a plan that used more than its share only because others left
 * it unused owes nothing.
 */
public final class ShareLedger {
    /** Decay time of usage; differences are compensated over about this time. */
    private static final double DECAY_SECONDS = 15;

    private static final double CORRECTION_GAIN = 2.0;
    private static final double MIN_CORRECTION = 0.5;
    private static final double MAX_CORRECTION = 2.0;

    private final Map<String, Account> mAccounts = new HashMap<>();
    private Map<String, Double> mShares = Map.of();

    private ShareLedger() {}

    /** Returns a ledger without plans. */
    public static ShareLedger create() {
        return new ShareLedger();
    }

    /** Sets the shares of all plans. */
    public void updateShares(Map<String, Double> shares) {
        mShares = Map.copyOf(shares);
        mAccounts.keySet().retainAll(shares.keySet());
    }

    /** Records the usage of an interval, summed over all processes. */
    public void record(UsageSnapshot totals) {
        double seconds = totals.intervalMillis() / 1000.0;
        if (seconds <= 0) {
            return;
        }
        double decay = Math.exp(-seconds / DECAY_SECONDS);
        Map<String, Double> owed = owed(totals);
        for (String plan : mShares.keySet()) {
            UsageSnapshot.PlanUsage usage = totals.plans().get(plan);
            double used = usage == null ? 0 : usage.usedMicros();
            Account account = mAccounts.computeIfAbsent(plan, key -> new Account());
            account.mUsed = account.mUsed * decay + used;
            account.mOwed = account.mOwed * decay + owed.getOrDefault(plan, 0.0);
        }
    }

    /** Divides the used engine time by share; what a plan does not demand is lent to the others. */
    private Map<String, Double> owed(UsageSnapshot totals) {
        Map<String, Double> demands = new HashMap<>();
        double remaining = 0;
        for (Map.Entry<String, UsageSnapshot.PlanUsage> plan : totals.plans().entrySet()) {
            UsageSnapshot.PlanUsage usage = plan.getValue();
            remaining += usage.usedMicros();
            double demand = Math.max(usage.demandedMicros(), usage.usedMicros());
            if (demand > 0 && mShares.containsKey(plan.getKey())) {
                demands.put(plan.getKey(), demand);
            }
        }
        return divide(remaining, demands, mShares);
    }

    /**
     * Max-min fair division (water-filling): each plan gets its part by share, but no more than its
     * demand.
     */
    static Map<String, Double> divide(
            double amount, Map<String, Double> demands, Map<String, Double> shares) {
        Map<String, Double> result = new HashMap<>();
        Map<String, Double> unsatisfied = new HashMap<>(demands);
        double remaining = amount;
        boolean isSatisfied = true;
        while (!unsatisfied.isEmpty() && isSatisfied) {
            double totalShare = unsatisfied.keySet().stream().mapToDouble(shares::get).sum();
            isSatisfied = false;
            double amountPerShare = remaining / totalShare;
            for (String plan : Map.copyOf(unsatisfied).keySet()) {
                if (unsatisfied.get(plan) <= amountPerShare * shares.get(plan)) {
                    result.put(plan, unsatisfied.get(plan));
                    remaining -= unsatisfied.remove(plan);
                    isSatisfied = true;
                }
            }
        }
        double totalShare = unsatisfied.keySet().stream().mapToDouble(shares::get).sum();
        for (String plan : unsatisfied.keySet()) {
            result.put(plan, remaining * shares.get(plan) / totalShare);
        }
        return result;
    }

    /**
     * Returns the factor for the plan's weight, 0.5 to 2; above 1 when the plan got less than it
     * was owed.
     */
    public double correction(String plan) {
        Account account = mAccounts.get(plan);
        if (account == null || account.mOwed <= 0) {
            return 1;
        }
        double shortfall = (account.mOwed - account.mUsed) / account.mOwed;
        return Math.max(MIN_CORRECTION, Math.min(MAX_CORRECTION, 1 + CORRECTION_GAIN * shortfall));
    }

    /**
     * Returns the plan's fraction of all usage relative to its share among the plans with usage;
     * above 1 when the plan is over its share.
     */
    public double relativeUsage(String plan) {
        double used = 0;
        double shares = 0;
        for (Map.Entry<String, Account> entry : mAccounts.entrySet()) {
            if (entry.getValue().mUsed > 0) {
                used += entry.getValue().mUsed;
                shares += mShares.get(entry.getKey());
            }
        }
        Account account = mAccounts.get(plan);
        if (account == null || account.mUsed <= 0 || used <= 0) {
            return 0;
        }
        return account.mUsed / used / (mShares.get(plan) / shares);
    }

    /** Decayed engine time of one plan, in microseconds. */
    private static final class Account {
        private double mUsed;
        private double mOwed;
    }
}
