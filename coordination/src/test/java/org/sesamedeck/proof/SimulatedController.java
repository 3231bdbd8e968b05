package org.sesamedeck.proof;

import java.util.Map;
import org.sesamedeck.endpoint.command.EngineTarget;

/** A control process under test: the production version or a naive one. */
interface SimulatedController {
    /** Becomes a candidate for the lease. */
    void start();

    /** Sets the role of an engine if this process holds the lease according to its local view. */
    void command(EngineTarget engine, String role);

    /** Releases the lease and becomes a candidate again. */
    default void release() {
        // The naive versions never release the lease.
    }

    /** Returns whether all recorded commands are done. */
    boolean areCommandsCompleted(String groupValue);

    /** Returns the role of each engine according to the stored object. */
    Map<String, String> recordedRoles(String groupValue);
}
