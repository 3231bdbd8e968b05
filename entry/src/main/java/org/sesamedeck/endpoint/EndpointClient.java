package org.sesamedeck.endpoint;

/** Sends HTTP requests to endpoints. Thread-safe; never retries a request on its own. */
public interface EndpointClient extends AutoCloseable {
    /** Starts a request without blocking. The exchange must be closed. */
    EndpointExchange send(EndpointRequest request);

    /** Sends a request and discards the response; used for cancellations. */
    void sendAndDiscard(EndpointRequest request);

    /** Closes all connections. */
    @Override
    void close();
}
