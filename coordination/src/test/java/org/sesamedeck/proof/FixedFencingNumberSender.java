package org.sesamedeck.proof;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.endpoint.command.CommandReply;
import org.sesamedeck.endpoint.command.EngineCommand;
import org.sesamedeck.endpoint.command.EngineCommandSender;
import org.sesamedeck.endpoint.command.EngineConnection;
import org.sesamedeck.endpoint.command.EngineStateResponse;

/** Naive version: the fencing number does not increase with each command. */
record FixedFencingNumberSender(EngineCommandSender base, LongSupplier fencingNumber)
        implements EngineCommandSender {
    static EngineCommandSender of(EngineCommandSender base, LongSupplier fencingNumber) {
        return new FixedFencingNumberSender(base, fencingNumber);
    }

    @Override
    public CompletableFuture<EngineConnection> open(HostAddress engine) {
        return base.open(engine)
                .thenApply(
                        connection -> new FixedFencingNumberConnection(connection, fencingNumber));
    }

    @Override
    public CompletableFuture<EngineStateResponse> readState(HostAddress engine) {
        return base.readState(engine);
    }

    @Override
    public void close() {
        base.close();
    }

    private record FixedFencingNumberConnection(EngineConnection base, LongSupplier fencingNumber)
            implements EngineConnection {
        @Override
        public CompletableFuture<CommandReply> send(EngineCommand command) {
            return base.send(
                    new EngineCommand(
                            command.id(),
                            fencingNumber.getAsLong(),
                            command.kind(),
                            command.arguments()));
        }

        @Override
        public void close() {
            base.close();
        }
    }
}
