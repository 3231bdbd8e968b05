package org.sesamedeck.emulator.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.HostAddress;

/** Fetches JSON from another emulator, on the event loop of this one. */
final class HttpFetch {
    private static final int TIMEOUT_MILLIS = 2000;
    private static final int MAX_BODY_BYTES = 1 << 20;

    private HttpFetch() {}

    /** Returns the body of a response with status 200; empty on another status or a failure. */
    static CompletableFuture<Optional<JsonNode>> get(
            EventLoopGroup group, HostAddress address, String path) {
        CompletableFuture<Optional<JsonNode>> result = new CompletableFuture<>();
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers()
                .set(HttpHeaderNames.HOST, address.toString())
                .set(HttpHeaderNames.CONNECTION, "close");
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                        .addLast(
                                                new ReadTimeoutHandler(
                                                        TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                                        .addLast(new ResponseReader(result));
                            }
                        })
                .connect(address.toSocketAddress())
                .addListener(
                        (io.netty.channel.ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                connected.channel().writeAndFlush(request);
                            } else {
                                result.complete(Optional.empty());
                            }
                        });
        return result;
    }

    private static final class ResponseReader
            extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CompletableFuture<Optional<JsonNode>> mResult;

        private ResponseReader(CompletableFuture<Optional<JsonNode>> result) {
            mResult = result;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.status().code() == 200) {
                mResult.complete(
                        Optional.of(
                                Json.parse(response.content().toString(StandardCharsets.UTF_8))));
            }
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mResult.complete(Optional.empty());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
