package org.sesamedeck.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * HTTP client for one server of the platform that reads full responses. Confined to one event loop.
 * A connection whose response did not arrive in time is not reused, and neither are those that were
 * idle meanwhile: what silenced one connection may have silenced all, and the next call would wait
 * in vain once more.
 */
public final class HttpCallClient implements AutoCloseable {
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop mLoop;
    private final HostAddress mAddress;
    private final boolean mIsResetting;
    private final ArrayDeque<Connection> mIdleConnections = new ArrayDeque<>();

    /**
     * A full response.
     *
     * @param status HTTP status
     * @param body the body
     */
    public record Response(int status, byte[] body) {}

    private record Call(
            FullHttpRequest request,
            Duration timeout,
            BooleanSupplier maySend,
            CompletableFuture<Response> result) {}

    private HttpCallClient(EventLoop loop, HostAddress address, boolean isResetting) {
        mLoop = loop;
        mAddress = address;
        mIsResetting = isResetting;
    }

    /** Returns a client without connections. */
    public static HttpCallClient create(EventLoop loop, HostAddress address) {
        return new HttpCallClient(loop, address, false);
    }

    /**
     * Returns a client without connections that resets the connection of an abandoned call. Bytes
     * that a partition holds up are then lost; after an ordinary close they would still arrive when
     * the partition heals, long after the call was abandoned.
     */
    public static HttpCallClient createResetting(EventLoop loop, HostAddress address) {
        return new HttpCallClient(loop, address, true);
    }

    /**
     * Sends a request; may be called from any thread.
     *
     * @param path path and query
     * @param body JSON body; empty for none
     * @param timeout maximum time until the full response is received
     * @return fails with STORE_UNAVAILABLE if the request was not sent and with
     *     STORE_OUTCOME_UNKNOWN if it was sent and no response was received
     */
    public CompletableFuture<Response> call(
            HttpMethod method, String path, byte[] body, Duration timeout) {
        return call(method, path, Map.of(), body, timeout, () -> true);
    }

    /**
     * Sends a request with an additional header; otherwise like {@link #call(HttpMethod, String,
     * byte[], Duration)}.
     */
    public CompletableFuture<Response> call(
            HttpMethod method,
            String path,
            String headerName,
            String headerValue,
            byte[] body,
            Duration timeout) {
        return call(method, path, Map.of(headerName, headerValue), body, timeout, () -> true);
    }

    /**
     * Sends a request with additional headers, unless it may not be sent any more when the
     * connection is ready; otherwise like {@link #call(HttpMethod, String, byte[], Duration)}.
     */
    public CompletableFuture<Response> call(
            HttpMethod method,
            String path,
            Map<String, String> headers,
            byte[] body,
            Duration timeout,
            BooleanSupplier maySend) {
        FullHttpRequest request = request(method, path, body);
        headers.forEach(request.headers()::set);
        Call call = new Call(request, timeout, maySend, new CompletableFuture<>());
        if (mLoop.inEventLoop()) {
            start(call);
        } else {
            mLoop.execute(() -> start(call));
        }
        return call.result();
    }

    private FullHttpRequest request(HttpMethod method, String path, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, mAddress.toString());
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return request;
    }

    private void start(Call call) {
        Connection idle = mIdleConnections.pollLast();
        while (idle != null && !idle.isOpen()) {
            idle = mIdleConnections.pollLast();
        }
        if (idle != null) {
            idle.send(call);
            return;
        }
        Connection connection = new Connection();
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) Math.min(CONNECT_TIMEOUT.toMillis(), call.timeout().toMillis()))
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                if (mIsResetting) {
                                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                                }
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                                connection);
                            }
                        })
                .connect(mAddress.toSocketAddress())
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                connection.send(call);
                            } else {
                                call.request().release();
                                call.result()
                                        .completeExceptionally(
                                                SesamedeckException.of(
                                                        ResultCode.STORE_UNAVAILABLE,
                                                        "connecting to " + mAddress + " failed",
                                                        done.cause()));
                            }
                        });
    }

    @Override
    public void close() {
        mLoop.execute(this::closeIdle);
    }

    private void closeIdle() {
        while (!mIdleConnections.isEmpty()) {
            mIdleConnections.poll().close();
        }
    }

    /** A connection with at most one outstanding request. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private ChannelHandlerContext mContext;
        private Optional<CompletableFuture<Response>> mResult = Optional.empty();
        private Future<?> mTimer;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            mContext = context;
        }

        boolean isOpen() {
            return mContext.channel().isActive();
        }

        void close() {
            mContext.close();
        }

        void send(Call call) {
            if (!call.maySend().getAsBoolean()) {
                mIdleConnections.addLast(this);
                call.request().release();
                call.result()
                        .completeExceptionally(
                                SesamedeckException.of(
                                        ResultCode.STORE_UNAVAILABLE,
                                        "not sent to " + mAddress + ": the right has ended"));
                return;
            }
            mResult = Optional.of(call.result());
            mTimer =
                    mLoop.schedule(
                            () ->
                                    timeOut(
                                            "no response within "
                                                    + call.timeout().toMillis()
                                                    + " ms"),
                            call.timeout().toNanos(),
                            TimeUnit.NANOSECONDS);
            mContext.writeAndFlush(call.request());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse received) {
            if (mResult.isEmpty() || received.decoderResult().isFailure()) {
                fail("response is not valid HTTP");
                return;
            }
            Response response =
                    new Response(
                            received.status().code(), ByteBufUtil.getBytes(received.content()));
            CompletableFuture<Response> result = mResult.get();
            mResult = Optional.empty();
            mTimer.cancel(false);
            if (HttpUtil.isKeepAlive(received)) {
                mIdleConnections.addLast(this);
            } else {
                mContext.close();
            }
            result.complete(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mIdleConnections.remove(this);
            fail("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(String.valueOf(cause.getMessage()));
        }

        private void timeOut(String cause) {
            closeIdle();
            fail(cause);
        }

        private void fail(String cause) {
            mContext.close();
            if (mResult.isPresent()) {
                CompletableFuture<Response> result = mResult.get();
                mResult = Optional.empty();
                mTimer.cancel(false);
                result.completeExceptionally(
                        SesamedeckException.of(
                                ResultCode.STORE_OUTCOME_UNKNOWN, mAddress + ": " + cause));
            }
        }
    }
}
