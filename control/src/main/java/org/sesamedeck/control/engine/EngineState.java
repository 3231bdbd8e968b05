package org.sesamedeck.control.engine;

import java.util.Set;
import java.util.TreeSet;
import org.sesamedeck.routing.EndpointRole;

/**
 * Last known state of an engine, as the holder of its group polled it.
 *
 * @param name name of the engine
 * @param role role of the engine
 * @param models models that are loaded
 * @param isDraining whether the engine must not receive new work
 * @param isChanging whether a command is in progress
 */
public record EngineState(
        String name,
        EndpointRole role,
        Set<String> models,
        boolean isDraining,
        boolean isChanging) {
    /** Sorts the models, so that equal states have equal documents. */
    public EngineState {
        role = role == null ? EndpointRole.MIXED : role;
        models = models == null ? new TreeSet<>() : new TreeSet<>(models);
    }
}
