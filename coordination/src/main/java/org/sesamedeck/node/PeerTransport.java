package org.sesamedeck.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.wire.generated.Envelope;

/**
 * Sends messages to other control processes. Futures complete on the control thread of the process
 * that sends, so that its state is only accessed by one thread.
 */
public interface PeerTransport {
    /** Sends a one-way message, which is dropped when it cannot be delivered. */
    void send(HostAddress peer, Envelope message);

    /**
     * Sends a message and returns a future for its reply.
     *
     * <p>The future fails with UNAVAILABLE when nothing was sent, with PEER_TIMEOUT when no reply
     * came in time, or with the code of an error reply.
     */
    CompletableFuture<Envelope> call(HostAddress peer, Envelope message, Duration timeout);
}
