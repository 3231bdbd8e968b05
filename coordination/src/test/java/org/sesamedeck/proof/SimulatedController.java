package org.sesamedeck.proof;

import java.util.Map;
import org.sesamedeck.endpoint.command.EngineTarget;

/** A control process under test: the production version or a naive one. */
interface SimulatedController {
    /** Becomes a candidate for the lease. */
    void start();

    /** Commands an engine to change its role, if this process considers itself the lease holder. */
    void setRole(EngineTarget engine, String role);

    /** Releases the lease and becomes a candidate again. */
    default void release() {
        // The naive versions never release the lease.
    }

    /**
     * Returns whether all recorded commands are done.
     *
     * @param groupValue stored value of the engine group's object
     */
    boolean areCommandsCompleted(String groupValue);

    /**
     * Returns the last recorded role by engine name.
     *
     * @param groupValue stored value of the engine group's object
     */
    Map<String, String> recordedRoles(String groupValue);
}
