package org.sesamedeck.control.engine;

import org.sesamedeck.endpoint.command.CommandExecutor;
import org.sesamedeck.lease.Lease;

/** Creates the command executor for a newly acquired group lease. */
@FunctionalInterface
public interface CommandExecutorFactory {
    /** Returns an executor that sends commands under the lease. */
    CommandExecutor create(Lease lease);
}
