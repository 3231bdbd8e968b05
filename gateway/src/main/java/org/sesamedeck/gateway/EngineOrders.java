package org.sesamedeck.gateway;

import java.util.concurrent.CompletableFuture;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;

/** Gives orders to engines. Futures fail with a SesamedeckException when no answer came. */
public interface EngineOrders {
    /**
     * What an engine says of itself.
     *
     * @param role its present role
     * @param isChanging whether an order is being carried out
     * @param acceptedOrders number of orders that it has accepted since it started
     */
    record EngineStatus(EndpointRole role, boolean isChanging, long acceptedOrders) {}

    /** How an engine answered an order. */
    enum OrderResult {
        /** It carries the order out, or has done so already. */
        ACCEPTED,
        /** Another order came before. */
        CONFLICT,
        /** A holder with a higher fencing number has given an order. */
        SUPERSEDED,
        /** Another process answers at the address, or the order is not known. */
        REFUSED
    }

    /** Asks an engine for its status. */
    CompletableFuture<EngineStatus> status(EndpointDescription engine);

    /**
     * Orders an engine to change its role.
     *
     * @param holder name of this host
     * @param fencingNumber engines refuse an order with a lower number than one seen before
     * @param acceptedOrders the order is refused unless the engine has accepted this many before
     */
    CompletableFuture<OrderResult> setRole(
            EndpointDescription engine,
            EndpointRole role,
            String holder,
            long fencingNumber,
            long acceptedOrders);
}
