package org.sesamedeck.gateway;

import java.util.concurrent.CompletableFuture;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;

/**
 * Sends commands to engines. Futures fail with a SesamedeckException if no valid response is
 * received.
 */
public interface EngineCommandClient {
    /**
     * The status that an engine reports.
     *
     * @param role its current role
     * @param isChanging whether a command is in progress
     * @param acceptedCommands number of commands that it has accepted since it started
     */
    record EngineStatus(EndpointRole role, boolean isChanging, long acceptedCommands) {}

    /** The result of a command. */
    enum CommandResult {
        /** The engine executes the command or has already executed it. */
        ACCEPTED,
        /** The engine has accepted another command in the meantime. */
        CONFLICT,
        /** The fencing number is stale: the engine has seen a higher one. */
        SUPERSEDED,
        /**
         * Any other rejection, for example because another process listens at the address or the
         * command is unknown.
         */
        REFUSED
    }

    /** Requests the status of an engine. */
    CompletableFuture<EngineStatus> status(EndpointDescription engine);

    /**
     * Commands an engine to change its role.
     *
     * @param holder name of the process that sends the command
     * @param fencingNumber engines reject a command with a lower number than the highest they have
     *     seen
     * @param acceptedCommands the command is rejected unless the engine has accepted exactly this
     *     many before
     */
    CompletableFuture<CommandResult> setRole(
            EndpointDescription engine,
            EndpointRole role,
            String holder,
            long fencingNumber,
            long acceptedCommands);
}
