package org.sesamedeck.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.sesamedeck.core.HostAddress;

/** HTTP server for readiness checks and metrics. */
public final class StatusServer implements AutoCloseable {
    private static final String METRICS_PATH = "/metrics";
    private static final int MAX_REQUEST_BYTES = 8_192;

    private final EventLoop mLoop;
    private final String mReadinessPath;
    private final BooleanSupplier mIsReady;
    private final Supplier<String> mMetrics;
    private Channel mListener;

    private StatusServer(
            EventLoop loop,
            String readinessPath,
            BooleanSupplier isReady,
            Supplier<String> metrics) {
        mLoop = loop;
        mReadinessPath = readinessPath;
        mIsReady = isReady;
        mMetrics = metrics;
    }

    /** Returns a server that does not listen yet. */
    public static StatusServer create(
            EventLoop loop,
            String readinessPath,
            BooleanSupplier isReady,
            Supplier<String> metrics) {
        return new StatusServer(loop, readinessPath, isReady, metrics);
    }

    /**
     * Starts listening; blocks until the port is bound.
     *
     * @throws java.net.BindException if the port is in use
     */
    public void listen(HostAddress address) throws InterruptedException {
        mListener =
                new ServerBootstrap()
                        .group(mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                                        new Handler());
                                    }
                                })
                        .bind(address.toSocketAddress())
                        .sync()
                        .channel();
    }

    @Override
    public void close() {
        if (mListener != null) {
            mListener.close();
        }
    }

    private FullHttpResponse responseFor(String path) {
        if (path.equals(mReadinessPath)) {
            return mIsReady.getAsBoolean()
                    ? response(HttpResponseStatus.OK, "ready\n")
                    : response(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
        }
        return path.equals(METRICS_PATH)
                ? response(HttpResponseStatus.OK, mMetrics.get())
                : response(HttpResponseStatus.NOT_FOUND, "no such page\n");
    }

    private static FullHttpResponse response(HttpResponseStatus status, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    /** Handles the requests of one connection. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            FullHttpResponse response = responseFor(request.uri());
            boolean keepsAlive = HttpUtil.isKeepAlive(request);
            if (!keepsAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
            }
            var written = context.writeAndFlush(response);
            if (!keepsAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
