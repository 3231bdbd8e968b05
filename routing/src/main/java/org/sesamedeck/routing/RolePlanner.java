package org.sesamedeck.routing;

import java.util.Optional;

/**
 * Decides on role changes of engines. One instance serves one service; it is called about every 2 s
 * by the process that plans for the service. The holder of the lease of the engine's group carries
 * out the change. Not thread-safe.
 */
public interface RolePlanner {
    /** Returns at most one change to begin now, given the current state. */
    Optional<RoleChange> plan(FleetSnapshot snapshot);
}
