package org.sesamedeck.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;

/**
 * Calls endpoints over HTTP/1.1, one request at a time on a connection. Confined to one event loop.
 *
 * <p>A request is written once: nothing is ever sent again by the client itself, since only the
 * request core knows whether that is allowed. Idle connections are used again only well within the
 * time that the endpoint promised to keep them, so that a request rarely meets their end.
 */
public final class EndpointClient implements AutoCloseable {
    /** Several times the round trip between regions; a lost opening packet is not waited for. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    private static final int MAX_IDLE = 16;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final CallerFormat mFormat;
    private final Map<HostAddress, ArrayDeque<EndpointConnection>> mIdle = new HashMap<>();
    private long mConnectionsOpened;

    private EndpointClient(EventLoop loop, Clock clock, CallerFormat format) {
        mLoop = loop;
        mClock = clock;
        mFormat = format;
    }

    /** Returns a client without connections. */
    public static EndpointClient create(EventLoop loop, Clock clock, CallerFormat format) {
        return new EndpointClient(loop, clock, format);
    }

    /** Returns the number of connections opened so far. */
    public long connectionsOpened() {
        return mConnectionsOpened;
    }

    /**
     * Sends a request.
     *
     * @param requestIdentifier identifier that the answer must bear, if it bears one
     */
    HttpEndpointCall send(
            HostAddress address,
            FullHttpRequest request,
            String requestIdentifier,
            HttpEndpointCall.Listener listener) {
        HttpEndpointCall call =
                new HttpEndpointCall(mClock, mFormat, request, requestIdentifier, listener);
        EndpointConnection idle = takeIdle(address);
        if (idle != null) {
            idle.begin(call);
        } else {
            connect(address, call);
        }
        return call;
    }

    private EndpointConnection takeIdle(HostAddress address) {
        ArrayDeque<EndpointConnection> idle = mIdle.get(address);
        while (idle != null && !idle.isEmpty()) {
            EndpointConnection connection = idle.pollLast();
            if (connection.isReusable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void connect(HostAddress address, HttpEndpointCall call) {
        mConnectionsOpened++;
        EndpointConnection connection = new EndpointConnection(this, mClock, address);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) CONNECT_TIMEOUT.toMillis())
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpRequestEncoder(),
                                                        connection.decoder(),
                                                        connection);
                                    }
                                });
        var future = bootstrap.connect(address.toSocketAddress());
        call.connecting(future.channel());
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        connection.begin(call);
                    } else {
                        call.notSent("connecting to " + address + ": " + done.cause());
                    }
                });
    }

    /** Sends a DELETE call whose answer does not matter. */
    void delete(HostAddress address, String path, HttpEndpointCall.Listener listener) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.DELETE, path);
        request.headers().set("Host", address.toString());
        request.headers().set("Content-Length", "0");
        send(address, request, "", listener);
    }

    void released(EndpointConnection connection) {
        ArrayDeque<EndpointConnection> idle =
                mIdle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
        if (idle.size() >= MAX_IDLE) {
            connection.close();
            return;
        }
        idle.addLast(connection);
    }

    void closed(EndpointConnection connection) {
        ArrayDeque<EndpointConnection> idle = mIdle.get(connection.address());
        if (idle != null) {
            idle.remove(connection);
            if (idle.isEmpty()) {
                mIdle.remove(connection.address());
            }
        }
    }

    /** Closes idle connections whose promised time is nearly over. */
    void closeExpired() {
        for (EndpointConnection connection : idleConnections()) {
            if (!connection.isReusable()) {
                connection.close();
            }
        }
    }

    /** Returns a copy, since closing a connection removes it. */
    private List<EndpointConnection> idleConnections() {
        return mIdle.values().stream().flatMap(ArrayDeque::stream).toList();
    }

    @Override
    public void close() {
        idleConnections().forEach(EndpointConnection::close);
    }
}
