package org.sesamedeck.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.wire.generated.Acknowledgement;
import org.sesamedeck.wire.generated.Envelope;

/** Connection over one channel: matches replies to calls and passes other messages to a handler. */
final class EnvelopeHandler extends SimpleChannelInboundHandler<ByteBuf>
        implements MessageConnection {
    private static final System.Logger LOGGER = System.getLogger(EnvelopeHandler.class.getName());

    private final MessageHandler mHandler;
    private final Map<Long, CompletableFuture<Envelope>> mPendingCalls = new ConcurrentHashMap<>();
    private final AtomicLong mNextCorrelationId = new AtomicLong(1);
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();
    private volatile ChannelHandlerContext mContext;

    EnvelopeHandler(MessageHandler handler) {
        mHandler = handler;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        Envelope message;
        try {
            message = Envelope.parseFrom(new ByteBufInputStream(frame));
        } catch (InvalidProtocolBufferException malformed) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    "closing connection after a malformed message from "
                            + context.channel().remoteAddress(),
                    malformed);
            context.close();
            return;
        } catch (IOException failure) {
            throw new IllegalStateException("cannot read an in-memory buffer", failure);
        }
        if (message.getIsReply()) {
            acceptReply(message);
        } else {
            acceptMessage(message);
        }
    }

    private void acceptReply(Envelope message) {
        CompletableFuture<Envelope> call = mPendingCalls.remove(message.getCorrelationId());
        if (call == null) {
            return;
        }
        if (message.hasErrorReply()) {
            call.completeExceptionally(Envelopes.toFailure(message.getErrorReply()));
        } else {
            call.complete(message);
        }
    }

    private void acceptMessage(Envelope message) {
        if (message.getProtocolVersion() != Envelopes.PROTOCOL_VERSION
                || message.getBodyCase() == Envelope.BodyCase.BODY_NOT_SET) {
            reply(
                    message,
                    Envelopes.error(
                            SesamedeckException.of(
                                    ResultCode.UNSUPPORTED_MESSAGE,
                                    "protocol version "
                                            + message.getProtocolVersion()
                                            + ", body "
                                            + message.getBodyCase())));
            return;
        }
        if (message.hasAcknowledgement()) {
            return;
        }
        CompletableFuture<Optional<Envelope>> result;
        try {
            result = mHandler.handle(this, message);
        } catch (RuntimeException failure) {
            result = CompletableFuture.failedFuture(failure);
        }
        result.whenComplete(
                (reply, failure) -> {
                    if (failure != null) {
                        reply(message, Envelopes.error(SesamedeckException.from(failure)));
                    } else {
                        reply.ifPresent(envelope -> reply(message, envelope));
                    }
                });
    }

    private void reply(Envelope message, Envelope reply) {
        if (message.getCorrelationId() == 0) {
            return;
        }
        write(
                reply.toBuilder()
                        .setCorrelationId(message.getCorrelationId())
                        .setIsReply(true)
                        .build());
    }

    private void write(Envelope message) {
        mContext.writeAndFlush(Unpooled.wrappedBuffer(message.toByteArray()));
    }

    @Override
    public void send(Envelope message) {
        if (isOpen()) {
            write(message);
        }
    }

    @Override
    public CompletableFuture<Envelope> call(Envelope message, Duration timeout) {
        CompletableFuture<Envelope> call = new CompletableFuture<>();
        if (!isOpen()) {
            call.completeExceptionally(
                    SesamedeckException.of(ResultCode.UNAVAILABLE, "connection is closed"));
            return call;
        }
        long correlationId = mNextCorrelationId.getAndIncrement();
        mPendingCalls.put(correlationId, call);
        write(message.toBuilder().setCorrelationId(correlationId).build());
        mContext.executor()
                .schedule(
                        () -> fail(correlationId, "no reply within " + timeout.toMillis() + " ms"),
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS);
        if (mClosed.isDone()) {
            fail(correlationId, "connection closed");
        }
        return call;
    }

    private void fail(long correlationId, String reason) {
        CompletableFuture<Envelope> call = mPendingCalls.remove(correlationId);
        if (call != null) {
            call.completeExceptionally(SesamedeckException.of(ResultCode.PEER_TIMEOUT, reason));
        }
    }

    @Override
    public boolean isOpen() {
        ChannelHandlerContext context = mContext;
        return context != null && context.channel().isActive();
    }

    @Override
    public CompletableFuture<Void> closed() {
        return mClosed;
    }

    @Override
    public void close() {
        ChannelHandlerContext context = mContext;
        if (context != null) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosed.complete(null);
        mPendingCalls.keySet().forEach(correlationId -> fail(correlationId, "connection closed"));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            // Keep-alive: the peer ignores an acknowledgement that is not a reply.
            send(
                    Envelopes.builder()
                            .setAcknowledgement(Acknowledgement.getDefaultInstance())
                            .build());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(
                System.Logger.Level.DEBUG,
                () -> "closing connection to " + context.channel().remoteAddress() + ": " + cause);
        context.close();
    }
}
