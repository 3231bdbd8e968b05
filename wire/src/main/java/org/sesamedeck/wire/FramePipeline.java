package org.sesamedeck.wire;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.function.Supplier;

/** Channel pipeline for frames that consist of a 4-byte length and one envelope. */
final class FramePipeline extends ChannelInitializer<SocketChannel> {
    /** Allows one frame to carry the largest value of the object API (1 MB) and its envelope. */
    static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    private static final int KEEP_ALIVE_IDLE_SECONDS = 10;

    private final Supplier<EnvelopeHandler> mHandlerFactory;

    private FramePipeline(Supplier<EnvelopeHandler> handlerFactory) {
        mHandlerFactory = handlerFactory;
    }

    static FramePipeline create(Supplier<EnvelopeHandler> handlerFactory) {
        return new FramePipeline(handlerFactory);
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new IdleStateHandler(0, 0, KEEP_ALIVE_IDLE_SECONDS))
                .addLast(mHandlerFactory.get());
    }
}
