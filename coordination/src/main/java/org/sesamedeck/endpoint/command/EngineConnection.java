package org.sesamedeck.endpoint.command;

import java.util.concurrent.CompletableFuture;

/** A connection for one command; it is never reused or reopened. */
public interface EngineConnection extends AutoCloseable {
    /**
     * Sends the command over this connection only.
     *
     * @return fails with OUTCOME_UNKNOWN when there is no response or it has an unexpected status,
     *     UNAVAILABLE when the engine states that it did not accept the command
     */
    CompletableFuture<CommandReply> send(EngineCommand command);

    /** Closes the connection. */
    @Override
    void close();
}
