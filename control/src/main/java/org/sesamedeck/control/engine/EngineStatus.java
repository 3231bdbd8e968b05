package org.sesamedeck.control.engine;

import java.util.Set;
import java.util.TreeSet;
import org.sesamedeck.routing.EndpointRole;

/**
 * State of an engine as the holder of its group last read it.
 *
 * @param name name of the engine
 * @param role its role
 * @param models models that are loaded
 * @param isDraining whether it is to receive no new work
 * @param isChanging whether a command is in progress
 */
public record EngineState(
        String name,
        EndpointRole role,
        Set<String> models,
        boolean isDraining,
        boolean isChanging) {
    /** Orders the models, so that equal states have equal documents. */
    public EngineState {
        role = role == null ? EndpointRole.MIXED : role;
        models = models == null ? new TreeSet<>() : new TreeSet<>(models);
    }
}
