package org.sesamedeck.endpoint.command;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Sends commands to the engines of one group while the group lease is held: records the intent,
 * sends the command, waits for confirmation and records the completion. At most one command per
 * engine is open. All methods are called on the control thread, and futures complete there.
 */
public interface CommandExecutor {
    /**
     * Completes commands that a former holder or a run of this executor left open, and fences the
     * engines that check fencing numbers. Called after acquisition with all engines of the group
     * and then periodically; engines that are busy or need no recovery are skipped. An engine that
     * does not respond within 60 s is retried by the next call.
     *
     * @return completes when all runs have ended; fails with LEASE_LOST
     */
    CompletableFuture<Void> recover(Collection<EngineTarget> engines);

    /**
     * Executes a command. If a command to the engine is still open, that one is completed first.
     *
     * @param arguments for example {@code role} or {@code model}
     * @param cause person or component that requested the change, for the audit trail
     * @return completes with the confirmed command; fails with LEASE_LOST (a recorded command is
     *     then completed by the next holder), IN_PROGRESS when the engine is busy with a command,
     *     UNAVAILABLE when the command was not recorded because an earlier holder may still reach
     *     the engine (release-only), PEER_TIMEOUT after 60 s without confirmation (a recorded
     *     command stays open and the next call completes it first), STOPPING after {@link
     *     #release}, STALE_FENCING_NUMBER when the engine has seen a later holder, or
     *     INTERNAL_ERROR when the engine refuses the command
     */
    CompletableFuture<CommandRecord> execute(
            EngineTarget engine, CommandKind kind, Map<String, String> arguments, String cause);

    /**
     * Removes the log entries of an engine that was removed from the host list. Fails with
     * IN_PROGRESS while a command to it is running, LEASE_LOST when the lease has ended.
     */
    CompletableFuture<Void> removeEngine(String engineName);

    /**
     * Called when a node's host is removed from the host list: a former holder on that node is
     * settled, so with {@code release-only} takeover it no longer blocks commands.
     */
    CompletableFuture<Void> onHostRemoved(String node);

    /** Returns the command log with all recorded changes, including those not yet durable. */
    CommandLog log();

    /**
     * Stops accepting commands, waits until no command sent by this process can still arrive, and
     * releases the lease.
     */
    CompletableFuture<Void> release();
}
