package org.sesamedeck.routing.locality;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sesamedeck.core.Clock;

/** The outflows of this process, by service and role. Thread-safe. */
public final class DomainOutflows {
    /** Loads are exchanged several times a second; an outflow from older ones is not used. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    /** Least change of the share that is reported to the listener. */
    private static final double NOTABLE_CHANGE = 0.25;

    private final Clock mClock;
    private final LocalitySettings mSettings;
    private final Map<ServiceRole, OutflowPlanner> mPlanners = new HashMap<>();
    private final Map<ServiceRole, Double> mReportedShares = new HashMap<>();
    private volatile OutflowListener mListener = OutflowListener.NONE;
    private volatile Plan mPlan = new Plan(Map.of(), 0);

    /** Outflows with the time of the loads from which they were derived. */
    private record Plan(Map<ServiceRole, DomainOutflow> outflows, long plannedAtNanos) {}

    private DomainOutflows(Clock clock, LocalitySettings settings) {
        mClock = clock;
        mSettings = settings;
    }

    /** Returns an instance that knows no loads. */
    public static DomainOutflows create(Clock clock, LocalitySettings settings) {
        return new DomainOutflows(clock, settings);
    }

    /** Sets the receiver of notable changes. */
    public void setListener(OutflowListener listener) {
        mListener = listener;
    }

    /** Replaces the outflows; services that are left out have none. */
    public synchronized void update(Map<ServiceRole, List<DomainPressure>> pressures) {
        mPlanners.keySet().retainAll(pressures.keySet());
        Map<ServiceRole, DomainOutflow> outflows = new HashMap<>();
        pressures.forEach(
                (key, domains) ->
                        planner(key).plan(domains).ifPresent(plan -> outflows.put(key, plan)));
        mPlan = new Plan(Map.copyOf(outflows), mClock.nanoTime());
        mReportedShares.keySet().retainAll(outflows.keySet());
        outflows.forEach(this::report);
    }

    private OutflowPlanner planner(ServiceRole key) {
        return mPlanners.computeIfAbsent(key, any -> new OutflowPlanner(mClock, mSettings));
    }

    private void report(ServiceRole key, DomainOutflow outflow) {
        double reported = mReportedShares.getOrDefault(key, 0.0);
        double share = outflow.share();
        if (reported == 0 && share > 0) {
            mListener.began(key, outflow);
        } else if (reported > 0 && share == 0) {
            mListener.ended(key, outflow);
        } else if (Math.abs(share - reported) >= NOTABLE_CHANGE) {
            mListener.changed(key, outflow);
        } else {
            return;
        }
        mReportedShares.put(key, share);
    }

    /**
     * Returns the outflow; empty while the present loads of the other processes are unknown, and
     * where the region has too few endpoints to keep requests there.
     */
    public Optional<DomainOutflow> current(ServiceRole key) {
        Plan plan = mPlan;
        return mClock.nanoTime() - plan.plannedAtNanos() > MAX_AGE_NANOS
                ? Optional.empty()
                : Optional.ofNullable(plan.outflows().get(key));
    }

    /** Returns the present outflows, sorted by service and role; empty while loads are unknown. */
    public Map<ServiceRole, DomainOutflow> current() {
        Plan plan = mPlan;
        Map<ServiceRole, DomainOutflow> sorted =
                new TreeMap<>(
                        Comparator.comparing(ServiceRole::service)
                                .thenComparing(ServiceRole::role));
        if (mClock.nanoTime() - plan.plannedAtNanos() <= MAX_AGE_NANOS) {
            sorted.putAll(plan.outflows());
        }
        return sorted;
    }
}
