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
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Calls one HTTP server of the platform and reads whole answers. Confined to one event loop. A
 * connection on which an answer did not arrive in time is not used again.
 */
public final class HttpCallClient implements AutoCloseable {
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop mLoop;
    private final HostAddress mAddress;
    private final ArrayDeque<Connection> mIdle = new ArrayDeque<>();

    /**
     * A whole answer.
     *
     * @param status HTTP status
     * @param body the body
     */
    public record Answer(int status, byte[] body) {}

    private HttpCallClient(EventLoop loop, HostAddress address) {
        mLoop = loop;
        mAddress = address;
    }

    /** Returns a client without connections. */
    public static HttpCallClient create(EventLoop loop, HostAddress address) {
        return new HttpCallClient(loop, address);
    }

    /**
     * Makes a call; may be used from any thread.
     *
     * @param path path and query
     * @param body body in JSON; empty for none
     * @param timeout longest time until the whole answer
     * @return fails with STORE_UNAVAILABLE when the call was not sent and with
     *     STORE_OUTCOME_UNKNOWN when it was sent and no answer came
     */
    public CompletableFuture<Answer> call(
            HttpMethod method, String path, byte[] body, Duration timeout) {
        return call(request(method, path, body), timeout);
    }

    /** Makes a call with one header beside the usual ones; see the other method. */
    public CompletableFuture<Answer> call(
            HttpMethod method,
            String path,
            String headerName,
            String headerValue,
            byte[] body,
            Duration timeout) {
        FullHttpRequest request = request(method, path, body);
        request.headers().set(headerName, headerValue);
        return call(request, timeout);
    }

    private CompletableFuture<Answer> call(FullHttpRequest request, Duration timeout) {
        CompletableFuture<Answer> result = new CompletableFuture<>();
        if (mLoop.inEventLoop()) {
            start(request, timeout, result);
        } else {
            mLoop.execute(() -> start(request, timeout, result));
        }
        return result;
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

    private void start(
            FullHttpRequest request, Duration timeout, CompletableFuture<Answer> result) {
        Connection idle = mIdle.pollLast();
        while (idle != null && !idle.isOpen()) {
            idle = mIdle.pollLast();
        }
        if (idle != null) {
            idle.send(request, timeout, result);
            return;
        }
        Connection connection = new Connection();
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) Math.min(CONNECT_TIMEOUT.toMillis(), timeout.toMillis()))
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_ANSWER_BYTES),
                                                connection);
                            }
                        })
                .connect(mAddress.toSocketAddress())
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                connection.send(request, timeout, result);
                            } else {
                                request.release();
                                result.completeExceptionally(
                                        SesamedeckException.of(
                                                ResultCode.STORE_UNAVAILABLE,
                                                "connecting to " + mAddress + " failed",
                                                done.cause()));
                            }
                        });
    }

    @Override
    public void close() {
        mLoop.execute(
                () -> {
                    while (!mIdle.isEmpty()) {
                        mIdle.poll().close();
                    }
                });
    }

    /** One connection, with at most one call in progress. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private ChannelHandlerContext mContext;
        private Optional<CompletableFuture<Answer>> mResult = Optional.empty();
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

        void send(FullHttpRequest request, Duration timeout, CompletableFuture<Answer> result) {
            mResult = Optional.of(result);
            mTimer =
                    mLoop.schedule(
                            () -> fail("no answer within " + timeout.toMillis() + " ms"),
                            timeout.toNanos(),
                            TimeUnit.NANOSECONDS);
            mContext.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (mResult.isEmpty() || response.decoderResult().isFailure()) {
                fail("answer is not HTTP");
                return;
            }
            Answer answer =
                    new Answer(response.status().code(), ByteBufUtil.getBytes(response.content()));
            CompletableFuture<Answer> result = mResult.get();
            mResult = Optional.empty();
            mTimer.cancel(false);
            if (HttpUtil.isKeepAlive(response)) {
                mIdle.addLast(this);
            } else {
                mContext.close();
            }
            result.complete(answer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mIdle.remove(this);
            fail("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(String.valueOf(cause.getMessage()));
        }

        private void fail(String cause) {
            mContext.close();
            if (mResult.isPresent()) {
                CompletableFuture<Answer> result = mResult.get();
                mResult = Optional.empty();
                mTimer.cancel(false);
                result.completeExceptionally(
                        SesamedeckException.of(
                                ResultCode.STORE_OUTCOME_UNKNOWN, mAddress + ": " + cause));
            }
        }
    }
}
