package org.sesamedeck.routing;

import java.util.Optional;

/**
 * Decides on role changes of engines. One instance serves one service; it is called about once a
 * second by the process that holds the engines' leases, which carries out the change. Not
 * thread-safe.
 */
public interface RolePlanner {
    /** Returns at most one change to begin now, given the current state. */
    Optional<RoleChange> plan(FleetSnapshot snapshot);
}
