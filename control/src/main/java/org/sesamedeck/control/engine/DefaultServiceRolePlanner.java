package org.sesamedeck.control.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.Clock;
import org.sesamedeck.routing.DefaultRolePlanner;
import org.sesamedeck.routing.RoleChange;
import org.sesamedeck.routing.RolePlanner;
import org.sesamedeck.routing.RolePlannerSettings;

/** Plans with a separate planner for each service, from snapshots of its engines. */
public final class DefaultServiceRolePlanner implements ServiceRolePlanner {
    private final Clock mClock;
    private final RolePlannerSettings mSettings;
    private final Map<String, PlannerEntry> mPlanners = new HashMap<>();

    private record PlannerEntry(FleetSnapshotBuilder builder, RolePlanner planner) {}

    private DefaultServiceRolePlanner(Clock clock, RolePlannerSettings settings) {
        mClock = clock;
        mSettings = settings;
    }

    /** Returns a planner without any observations. */
    public static DefaultServiceRolePlanner create(Clock clock, RolePlannerSettings settings) {
        return new DefaultServiceRolePlanner(clock, settings);
    }

    @Override
    public Optional<RoleChange> plan(RolePlanningInput input) {
        PlannerEntry entry =
                mPlanners.computeIfAbsent(
                        input.service(),
                        name ->
                                new PlannerEntry(
                                        FleetSnapshotBuilder.create(mClock),
                                        DefaultRolePlanner.create(mClock, mSettings)));
        return entry.planner().plan(entry.builder().build(input));
    }
}
