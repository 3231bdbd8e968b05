package org.sesamedeck.control.engine;

import java.util.Optional;
import org.sesamedeck.routing.RoleChange;

/** Plans role changes of the engines of any service. Called on the control thread. */
@FunctionalInterface
public interface ServiceRolePlanner {
    /** Returns the role change to begin now, if any. */
    Optional<RoleChange> plan(RolePlanningInput input);

    /** Returns a planner that changes no role. */
    static ServiceRolePlanner none() {
        return input -> Optional.empty();
    }
}
