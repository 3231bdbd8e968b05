package org.sesamedeck.node;

import java.util.Optional;
import org.sesamedeck.wire.generated.Confirmation;

/** Exchanges, along with membership probes, how recently each node confirmed its configuration. */
public interface ConfirmationExchange {
    /** Returns the confirmation of this node; empty until the node knows the version in force. */
    Optional<Confirmation> outgoing();

    /**
     * Handles the reply of a peer.
     *
     * @param peer peer that replied
     * @param confirmation confirmation of the peer; empty while the peer is itself starting
     * @param sentAtNanos monotonic time before the request was sent, in nanoseconds; the reply
     *     describes the peer at that instant or later
     */
    void onReply(Member peer, Optional<Confirmation> confirmation, long sentAtNanos);

    /** Returns an exchange that sends no confirmation and ignores those of peers. */
    static ConfirmationExchange none() {
        return new ConfirmationExchange() {
            @Override
            public Optional<Confirmation> outgoing() {
                return Optional.empty();
            }

            @Override
            public void onReply(
                    Member peer, Optional<Confirmation> confirmation, long sentAtNanos) {}
        };
    }
}
