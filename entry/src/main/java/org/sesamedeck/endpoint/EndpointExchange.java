package org.sesamedeck.endpoint;

import java.io.OutputStream;
import java.time.Duration;
import java.util.Optional;

/**
 * One request and its response, used by one thread. Failures are {@code SesamedeckException} with
 * UNAVAILABLE when nothing was sent to the endpoint and OUTCOME_UNKNOWN otherwise.
 */
public interface EndpointExchange extends AutoCloseable {
    /** Returns the stream for a streamed request body; closing it ends the body. */
    OutputStream requestBody();

    /**
     * Waits until a connection is open and sending has started.
     *
     * @return false when sending has not started before the timeout
     */
    boolean awaitSent(Duration timeout);

    /** Waits for status and headers; empty on timeout. */
    Optional<EndpointResponse> awaitResponse(Duration timeout);

    /**
     * Waits for bytes of the body.
     *
     * @return an empty array at the end of the body; an empty optional on timeout
     */
    Optional<byte[]> read(Duration timeout);

    /** Ends the exchange; the connection is closed if the response is incomplete. */
    @Override
    void close();
}
