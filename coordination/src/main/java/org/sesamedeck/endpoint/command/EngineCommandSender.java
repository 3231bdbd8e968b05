package org.sesamedeck.endpoint.command;

import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.HostAddress;

/**
 * Sends commands to engines and reads their state. Opening a connection and sending are separate
 * steps, so that the caller can check its lease between them.
 */
public interface EngineCommandSender extends AutoCloseable {
    /** Opens a new connection; fails with UNAVAILABLE. */
    CompletableFuture<EngineConnection> open(HostAddress engine);

    /** Reads the state of an engine; fails with UNAVAILABLE. */
    CompletableFuture<EngineStateResponse> readState(HostAddress engine);

    /** Aborts all calls in progress. */
    @Override
    void close();
}
