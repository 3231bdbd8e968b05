package org.sesamedeck.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;

/** Sends no command and no status request to an engine that must receive no requests. */
final class GuardedCommandClient implements EngineCommandClient {
    private final EngineCommandClient mClient;
    private final Predicate<EndpointDescription> mAccepts;

    /**
     * Creates a client.
     *
     * @param accepts whether an engine may receive requests; called on the caller's thread
     */
    GuardedCommandClient(EngineCommandClient client, Predicate<EndpointDescription> accepts) {
        mClient = client;
        mAccepts = accepts;
    }

    @Override
    public CompletableFuture<EngineStatus> status(EndpointDescription engine) {
        return guarded(engine, () -> mClient.status(engine));
    }

    @Override
    public CompletableFuture<CommandResult> setRole(
            EndpointDescription engine,
            EndpointRole role,
            String holder,
            long fencingNumber,
            long acceptedCommands) {
        return guarded(
                engine,
                () -> mClient.setRole(engine, role, holder, fencingNumber, acceptedCommands));
    }

    private <T> CompletableFuture<T> guarded(
            EndpointDescription engine, Supplier<CompletableFuture<T>> call) {
        return mAccepts.test(engine)
                ? call.get()
                : CompletableFuture.failedFuture(
                        SesamedeckException.of(
                                ResultCode.UNAVAILABLE,
                                "engine " + engine.name() + " leaves or wants no requests now"));
    }
}
