package org.sesamedeck.wire;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.wire.generated.Envelope;

/** Handles messages that are not replies. Called on a transport thread; must not block. */
public interface MessageHandler {
    /**
     * Handles one message.
     *
     * @return completes with the reply, or empty for none; a failure is sent as an error reply with
     *     its result code
     */
    CompletableFuture<Optional<Envelope>> handle(MessageConnection connection, Envelope message);
}
