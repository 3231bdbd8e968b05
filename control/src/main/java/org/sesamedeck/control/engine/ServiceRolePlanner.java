package org.sesamedeck.control.engine;

import java.util.Optional;
import org.sesamedeck.routing.RoleChange;

/** Decides on role changes of the engines of a service. Called on the control thread. */
@FunctionalInterface
public interface RolePlanning {
    /** Returns the change to begin now, if there is one. */
    Optional<RoleChange> plan(RolePlanningView view);

    /** Returns a planner that changes no role. */
    static RolePlanning none() {
        return view -> Optional.empty();
    }
}
