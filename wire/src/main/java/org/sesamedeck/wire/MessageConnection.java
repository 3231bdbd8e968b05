package org.sesamedeck.wire;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.wire.generated.Envelope;

/** A connection to another process of the deployment. Thread-safe. */
public interface MessageConnection extends AutoCloseable {
    /** Sends a one-way message. A message that cannot be sent is dropped. */
    void send(Envelope message);

    /**
     * Sends a message and returns a future for its reply. Sets the correlation identifier.
     *
     * <p>The future fails with {@link org.sesamedeck.core.ResultCode#PEER_TIMEOUT} when no reply
     * arrives in time or the connection closes after the send, with {@link
     * org.sesamedeck.core.ResultCode#UNAVAILABLE} when nothing was sent, or with the code of an
     * error reply.
     */
    CompletableFuture<Envelope> call(Envelope message, Duration timeout);

    /** Returns whether the connection is open. */
    boolean isOpen();

    /** Returns a future that completes when the connection has closed. */
    CompletableFuture<Void> closed();

    /** Closes the connection; pending calls fail. */
    @Override
    void close();
}
