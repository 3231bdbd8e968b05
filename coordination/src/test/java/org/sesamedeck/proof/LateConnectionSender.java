package org.sesamedeck.proof;

import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.endpoint.command.CommandReply;
import org.sesamedeck.endpoint.command.EngineCommand;
import org.sesamedeck.endpoint.command.EngineCommandSender;
import org.sesamedeck.endpoint.command.EngineConnection;
import org.sesamedeck.endpoint.command.EngineStateResponse;

/** Naive version: opens the connection when the command is sent, as a connection pool may do. */
record LateConnectionSender(EngineCommandSender base) implements EngineCommandSender {
    static EngineCommandSender of(EngineCommandSender base) {
        return new LateConnectionSender(base);
    }

    @Override
    public CompletableFuture<EngineConnection> open(HostAddress engine) {
        return CompletableFuture.completedFuture(new LateConnection(base, engine));
    }

    @Override
    public CompletableFuture<EngineStateResponse> readState(HostAddress engine) {
        return base.readState(engine);
    }

    @Override
    public void close() {
        base.close();
    }

    private record LateConnection(EngineCommandSender base, HostAddress engine)
            implements EngineConnection {
        @Override
        public CompletableFuture<CommandReply> send(EngineCommand command) {
            return base.open(engine).thenCompose(connection -> connection.send(command));
        }

        @Override
        public void close() {
            // A simulated connection, which send opens, needs no close.
        }
    }
}
