package org.sesamedeck.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.NodeStatus;

class MessageTransportTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final MessageHandler NEVER_REPLYING =
            (connection, message) -> CompletableFuture.completedFuture(Optional.empty());

    private final MessageTransport mTransport = MessageTransport.create(1);

    @AfterEach
    void closeTransport() {
        mTransport.close();
    }

    private MessageConnection connectTo(MessageHandler handler) {
        HostAddress bound = mTransport.listen(HostAddress.of("127.0.0.1", 0), handler);
        return mTransport.connect(bound, TIMEOUT, NEVER_REPLYING).join();
    }

    private static Envelope status(String node) {
        return Envelopes.builder().setNodeStatus(NodeStatus.newBuilder().setNode(node)).build();
    }

    private static ResultCode codeOf(CompletableFuture<?> future) {
        return SesamedeckException.from(assertThrows(CompletionException.class, future::join))
                .code();
    }

    /** Guards against matching a reply to another call when replies arrive out of order. */
    @Test
    void repliesCompleteTheirOwnCallInAnyOrder() {
        CompletableFuture<Optional<Envelope>> first = new CompletableFuture<>();
        MessageConnection connection =
                connectTo(
                        (peer, message) ->
                                message.getNodeStatus().getNode().equals("first")
                                        ? first
                                        : CompletableFuture.completedFuture(Optional.of(message)));

        CompletableFuture<Envelope> firstReply = connection.call(status("first"), TIMEOUT);
        assertThat(
                connection.call(status("second"), TIMEOUT).join().getNodeStatus().getNode(),
                is("second"));
        first.complete(Optional.of(status("first")));
        assertThat(firstReply.join().getNodeStatus().getNode(), is("first"));
    }

    /**
     * Guards against a call that waits for its timeout because the peer does not know the message
     * type or the protocol version.
     */
    @Test
    void unknownMessageGetsAnErrorReply() {
        MessageConnection connection = connectTo(NEVER_REPLYING);

        assertThat(
                codeOf(connection.call(Envelopes.builder().build(), TIMEOUT)),
                is(ResultCode.UNSUPPORTED_MESSAGE));
        assertThat(
                codeOf(
                        connection.call(
                                status("n").toBuilder().setProtocolVersion(2).build(), TIMEOUT)),
                is(ResultCode.UNSUPPORTED_MESSAGE));
    }

    /** Guards against an oversized frame that exhausts the memory of the receiver. */
    @Test
    void oversizedFrameClosesTheConnection() {
        MessageConnection connection = connectTo(NEVER_REPLYING);

        CompletableFuture<Envelope> call =
                connection.call(status("x".repeat(FramePipeline.MAX_FRAME_BYTES + 1)), TIMEOUT);

        assertThat(codeOf(call), is(ResultCode.PEER_TIMEOUT));
        assertThat(connection.isOpen(), is(false));
    }

    @Test
    void missingReplyFailsTheCall() {
        MessageConnection connection = connectTo(NEVER_REPLYING);

        assertThat(
                codeOf(connection.call(status("n"), Duration.ofMillis(20))),
                is(ResultCode.PEER_TIMEOUT));
    }
}
