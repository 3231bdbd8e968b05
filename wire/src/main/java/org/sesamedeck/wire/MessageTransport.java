package org.sesamedeck.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** Opens and accepts TCP connections. Closing the transport closes all its connections. */
public final class MessageTransport implements AutoCloseable {
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final EventLoopGroup mEventLoops;

    private MessageTransport(int threads) {
        mEventLoops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /** Returns a transport with the given number of threads. */
    public static MessageTransport create(int threads) {
        return new MessageTransport(threads);
    }

    /**
     * Listens for connections.
     *
     * @return the bound address, whose port differs from the given one when that is 0
     * @throws SesamedeckException with {@link ResultCode#UNAVAILABLE} when the address cannot be
     *     bound
     */
    public HostAddress listen(HostAddress address, MessageHandler handler) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mEventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(FramePipeline.create(() -> new EnvelopeHandler(handler)));
        try {
            Channel channel = bootstrap.bind(address.toSocketAddress()).sync().channel();
            InetSocketAddress bound = (InetSocketAddress) channel.localAddress();
            return HostAddress.of(address.address(), bound.getPort());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw SesamedeckException.of(ResultCode.UNAVAILABLE, "interrupted while binding");
        } catch (Exception failure) {
            throw SesamedeckException.of(
                    ResultCode.UNAVAILABLE, "cannot listen on " + address, failure);
        }
    }

    /**
     * Opens a connection. The future fails with {@link ResultCode#UNAVAILABLE} when the peer cannot
     * be reached.
     *
     * @param handler receives messages from the peer that are not replies
     */
    public CompletableFuture<MessageConnection> connect(
            HostAddress address, Duration timeout, MessageHandler handler) {
        EnvelopeHandler connection = new EnvelopeHandler(handler);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mEventLoops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                Math.toIntExact(timeout.toMillis()))
                        .handler(FramePipeline.create(() -> connection));
        CompletableFuture<MessageConnection> result = new CompletableFuture<>();
        bootstrap
                .connect(address.toSocketAddress())
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                result.complete(connection);
                            } else {
                                result.completeExceptionally(
                                        SesamedeckException.of(
                                                ResultCode.UNAVAILABLE,
                                                "cannot connect to " + address,
                                                future.cause()));
                            }
                        });
        return result;
    }

    @Override
    public void close() {
        mEventLoops
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly();
    }
}
