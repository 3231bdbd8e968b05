package org.sesamedeck.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Estimates the fleet's demand on each pool. Not thread-safe. */
final class FleetDemandEstimator {
    /** Weight of a new total in the moving average; totals arrive once a second. */
    private static final double SMOOTHING_FACTOR = 0.3;

    private double mMicrosPerSecond;

    /**
     * Updates the demand of all pools. Totals are by plan only, so the fleet's demand is assumed to
     * be distributed over the pools like this process's own demand.
     */
    void update(UsageSnapshot totals, Collection<PoolState> pools) {
        double micros =
                totals.plans().values().stream()
                        .mapToDouble(UsageSnapshot.PlanUsage::demandedMicros)
                        .sum();
        double rate = micros * 1_000 / Math.max(1, totals.intervalMillis());
        mMicrosPerSecond += SMOOTHING_FACTOR * (rate - mMicrosPerSecond);
        Map<PoolState, Double> demands = new HashMap<>();
        pools.forEach(pool -> demands.put(pool, pool.takeDemand()));
        double own = demands.values().stream().mapToDouble(Double::doubleValue).sum();
        demands.forEach(
                (pool, demand) ->
                        pool.setFleetDemand(own <= 0 ? 0 : mMicrosPerSecond * demand / own));
    }
}
