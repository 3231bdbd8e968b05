package org.sesamedeck.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.RequestExplanation;

/** HTTP server for readiness checks, metrics and explanations of requests. */
public final class StatusServer implements AutoCloseable {
    private static final String METRICS_PATH = "/metrics";
    private static final int MAX_HEAD_BYTES = 16 * 1_024;

    /** A load balancer uses one or a few connections. */
    private static final int MAX_CONNECTIONS = 64;

    /** Memory for the header fields of all requests that are being received. */
    private static final int MAX_FIELD_BYTES = 4 << 20;

    private static final int MIN_READ_BYTES = 512;
    private static final int MAX_READ_BYTES = 4 * 1_024;

    private final EventLoop mLoop;
    private final String mReadinessPath;
    private final BooleanSupplier mIsReady;
    private final Supplier<String> mMetrics;
    private final ExplanationPage mExplanations;
    private final Set<StatusConnection> mConnections = new LinkedHashSet<>();
    private int mFieldBytes;
    private Channel mListener;

    private StatusServer(
            EventLoop loop,
            String readinessPath,
            BooleanSupplier isReady,
            Supplier<String> metrics,
            ExplanationPage explanations) {
        mLoop = loop;
        mReadinessPath = readinessPath;
        mIsReady = isReady;
        mMetrics = metrics;
        mExplanations = explanations;
    }

    /**
     * Returns a server that does not listen yet.
     *
     * @param explanations explains a request on whichever thread it needs
     */
    public static StatusServer create(
            EventLoop loop,
            String readinessPath,
            BooleanSupplier isReady,
            Supplier<String> metrics,
            Function<CallerRequest, CompletionStage<RequestExplanation>> explanations) {
        return new StatusServer(
                loop, readinessPath, isReady, metrics, new ExplanationPage(loop, explanations));
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
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                                MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES)
                                        .maxMessagesPerRead(1))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        addHandlers(channel);
                                    }
                                })
                        .bind(address.toSocketAddress())
                        .sync()
                        .channel();
    }

    private void addHandlers(Channel channel) {
        StatusConnection connection = new StatusConnection(this);
        HttpHeadersFactory headers =
                MeteredHeaders.factory(connection::fieldReceived, MAX_HEAD_BYTES);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(
                                new HttpDecoderConfig()
                                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                                        .setHeadersFactory(headers)
                                        .setTrailersFactory(headers)),
                        connection);
    }

    /**
     * Admits a connection. Beyond the limit the oldest one makes room, those that never sent a
     * request first, so that a load balancer always gets its answer.
     */
    void connectionOpened(StatusConnection connection) {
        mConnections.add(connection);
        if (mConnections.size() > MAX_CONNECTIONS) {
            StatusConnection closed =
                    mConnections.stream()
                            .filter(other -> !other.hasResponded() && other != connection)
                            .findFirst()
                            .orElseGet(() -> mConnections.iterator().next());
            mConnections.remove(closed);
            closed.close();
        }
    }

    void connectionClosed(StatusConnection connection) {
        mConnections.remove(connection);
    }

    /**
     * Reserves memory for header fields. When there is none left, the connection with the largest
     * head is closed, so that heads which never end do not keep a load balancer out.
     *
     * @return false if that is the requester itself
     */
    boolean tryReserveHead(StatusConnection requester, int bytes) {
        while (mFieldBytes + bytes > MAX_FIELD_BYTES) {
            Optional<StatusConnection> largest =
                    mConnections.stream().max(Comparator.comparingInt(StatusConnection::headBytes));
            if (largest.isEmpty() || largest.get() == requester || largest.get().headBytes() == 0) {
                return false;
            }
            largest.get().drop();
        }
        mFieldBytes += bytes;
        return true;
    }

    void releaseHead(int bytes) {
        mFieldBytes -= bytes;
    }

    @Override
    public void close() {
        if (mListener != null) {
            mListener.close();
        }
    }

    /** Returns the response, which completes on the event loop. */
    CompletionStage<FullHttpResponse> responseFor(String uri) {
        return uri.startsWith(ExplanationPage.PATH + '?') || uri.equals(ExplanationPage.PATH)
                ? mExplanations.respond(uri).thenApply(StatusServer::response)
                : CompletableFuture.completedFuture(presentResponse(uri));
    }

    private FullHttpResponse presentResponse(String path) {
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
        return response(StatusPage.text(status, text));
    }

    private static FullHttpResponse response(StatusPage page) {
        byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, page.status(), Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, page.mediaType())
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }
}
