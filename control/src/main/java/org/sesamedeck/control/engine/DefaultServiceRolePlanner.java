package org.sesamedeck.control.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.Clock;
import org.sesamedeck.routing.DefaultRolePlanner;
import org.sesamedeck.routing.RoleChange;
import org.sesamedeck.routing.RolePlanner;
import org.sesamedeck.routing.RolePlannerSettings;

/** Feeds one planner for each service with snapshots of its engines. */
public final class DefaultRolePlanning implements RolePlanning {
    private final Clock mClock;
    private final RolePlannerSettings mSettings;
    private final Map<String, Service> mServices = new HashMap<>();

    private record Service(FleetSnapshotBuilder builder, RolePlanner planner) {}

    private DefaultRolePlanning(Clock clock, RolePlannerSettings settings) {
        mClock = clock;
        mSettings = settings;
    }

    /** Returns a planning that has seen no engine yet. */
    public static DefaultRolePlanning create(Clock clock, RolePlannerSettings settings) {
        return new DefaultRolePlanning(clock, settings);
    }

    @Override
    public Optional<RoleChange> plan(RolePlanningView view) {
        Service service =
                mServices.computeIfAbsent(
                        view.service(),
                        name ->
                                new Service(
                                        FleetSnapshotBuilder.create(mClock),
                                        DefaultRolePlanner.create(mClock, mSettings)));
        return service.planner().plan(service.builder().build(view));
    }
}
