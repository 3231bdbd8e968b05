package org.sesamedeck.entry.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.wire.generated.ClaimCompletion;
import org.sesamedeck.wire.generated.ClaimReply;
import org.sesamedeck.wire.generated.ClaimRequest;

/** Client of the entry process for the control process on the same host. Thread-safe. */
public interface ControlClient extends AutoCloseable {
    /** Returns the state received last. */
    ControlSnapshot snapshot();

    /** Returns why new requests are currently refused; empty while they are admitted. */
    Optional<String> refusalReason();

    /**
     * Claims the right to run a request that must not run twice. The future fails with UNAVAILABLE
     * when nothing was sent, with PEER_TIMEOUT when no reply came, so that the claim may have been
     * granted, or with the code of an error reply.
     */
    CompletableFuture<ClaimReply> claim(ClaimRequest request, Duration timeout);

    /**
     * Reports the outcome of a claimed attempt, or abandons its claim when the completion has no
     * outcome. Returns immediately; a failed report is repeated up to four times, 1 s apart, and
     * then dropped.
     */
    void complete(ClaimCompletion completion);

    /** Closes the connection. */
    @Override
    void close();
}
