package org.sesamedeck.emulator.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;

/**
 * HTTP server with a single event loop. The state of the emulator is confined to that event loop,
 * so handlers need no locks.
 */
public final class HttpServer implements AutoCloseable {
    static {
        // No SLF4J provider is on the class path, so Netty would drop its log messages.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int MAX_HEADER_LINE_BYTES = 16 << 10;

    private final EventLoopGroup mGroup;
    private final Clock mClock;
    private final Duration mFirstRequestTimeout;
    private Channel mChannel;

    private HttpServer(Clock clock, Duration firstRequestTimeout) {
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("emulator"), NioIoHandler.newFactory());
        mClock = clock;
        mFirstRequestTimeout = firstRequestTimeout;
    }

    /** Returns a server that does not listen yet and keeps connections without a request open. */
    public static HttpServer create(Clock clock) {
        return create(clock, Duration.ZERO);
    }

    /**
     * Returns a server that does not listen yet. It closes a connection on which no complete
     * request arrives within the timeout; no timeout if zero.
     */
    public static HttpServer create(Clock clock, Duration firstRequestTimeout) {
        return new HttpServer(clock, firstRequestTimeout);
    }

    /** Returns the event loop, for timers and for tasks submitted by other threads. */
    public ScheduledExecutorService eventLoop() {
        return mGroup.next();
    }

    /** Fetches JSON from another emulator; empty unless it responds with status 200. */
    public CompletableFuture<Optional<JsonNode>> fetch(HostAddress address, String path) {
        return HttpFetch.get(mGroup, address, path);
    }

    /**
     * Starts to listen; port 0 selects a free port.
     *
     * @return the bound address
     */
    public HostAddress listen(HostAddress address, HttpRequestHandler handler) {
        mChannel =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        // The pooled allocator reserves 4 MB chunks, too much for a 64 MB heap.
                        .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                        .childHandler(initializer(handler))
                        .bind(address.toSocketAddress())
                        .syncUninterruptibly()
                        .channel();
        int port = ((InetSocketAddress) mChannel.localAddress()).getPort();
        return HostAddress.of(address.address(), port);
    }

    private ChannelInitializer<Channel> initializer(HttpRequestHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new HttpServerCodec(
                                        MAX_HEADER_LINE_BYTES, MAX_HEADER_LINE_BYTES, 64 << 10))
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new HttpRequestReader(handler, mClock.nanoTime()));
            }
        };
    }

    @Override
    public void close() {
        if (mChannel != null) {
            mChannel.close().syncUninterruptibly();
        }
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class HttpRequestReader extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final HttpRequestHandler mHandler;
        private final long mAcceptedNanos;
        private Exchange mLastExchange;

        private HttpRequestReader(HttpRequestHandler handler, long acceptedNanos) {
            mHandler = handler;
            mAcceptedNanos = acceptedNanos;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            if (!mFirstRequestTimeout.isZero()) {
                context.executor()
                        .schedule(
                                () -> {
                                    if (mLastExchange == null) {
                                        context.close();
                                    }
                                },
                                mFirstRequestTimeout.toNanos(),
                                TimeUnit.NANOSECONDS);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Exchange exchange = Exchange.of(context.channel(), mAcceptedNanos, request);
            mLastExchange = exchange;
            try {
                mHandler.handle(exchange);
            } catch (IllegalArgumentException invalid) {
                exchange.respondError(400, "BAD_REQUEST", String.valueOf(invalid.getMessage()));
            } catch (RuntimeException failure) {
                System.getLogger(HttpServer.class.getName())
                        .log(System.Logger.Level.ERROR, exchange.uri(), failure);
                exchange.respondError(500, "INTERNAL_ERROR", String.valueOf(failure));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mLastExchange != null) {
                mLastExchange.onChannelClosed();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
