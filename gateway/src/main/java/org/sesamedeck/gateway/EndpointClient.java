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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;

/**
 * HTTP/1.1 client for endpoints, with one request at a time on a connection. Confined to one event
 * loop.
 *
 * <p>The client never retries a request, since only the request module knows whether a retry is
 * safe. It reuses idle connections only well within the keep-alive time that the endpoint
 * announced, so that a request rarely meets a connection that is being closed.
 */
public final class EndpointClient implements AutoCloseable {
    /**
     * Several round trips between regions; too short to wait for the retransmission of a lost SYN
     * packet.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /**
     * The system allows twice this and may keep what is unread as one block, whose memory is free
     * only when all of it has been read. With a larger buffer an endpoint sees no progress for
     * seconds while a response is read on in parts for a slow caller.
     */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1_024;

    private static final int MAX_IDLE_PER_ENDPOINT = 16;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final HeaderCodec mHeaderCodec;
    private final Map<HostAddress, ArrayDeque<EndpointConnection>> mIdleConnections =
            new HashMap<>();
    private long mConnectionsOpened;

    private EndpointClient(EventLoop loop, Clock clock, HeaderCodec headerCodec) {
        mLoop = loop;
        mClock = clock;
        mHeaderCodec = headerCodec;
    }

    /** Returns a client without connections. */
    public static EndpointClient create(EventLoop loop, Clock clock, HeaderCodec headerCodec) {
        return new EndpointClient(loop, clock, headerCodec);
    }

    /** Returns the number of connections opened so far. */
    public long connectionsOpened() {
        return mConnectionsOpened;
    }

    /**
     * Sends a request.
     *
     * @param requestIdentifier identifier that the response must carry, if it carries one; empty to
     *     accept any
     */
    HttpEndpointCall send(
            HostAddress address,
            FullHttpRequest request,
            String requestIdentifier,
            HttpEndpointCall.Listener listener) {
        HttpEndpointCall call =
                new HttpEndpointCall(mClock, mHeaderCodec, request, requestIdentifier, listener);
        EndpointConnection idle = pollIdle(address, requestIdentifier);
        if (idle != null) {
            idle.begin(call);
        } else {
            connect(address, call);
        }
        return call;
    }

    /**
     * Returns the connection used last that can be reused for the request; null if there is none.
     */
    private EndpointConnection pollIdle(HostAddress address, String requestIdentifier) {
        ArrayDeque<EndpointConnection> idle =
                mIdleConnections.getOrDefault(address, new ArrayDeque<>());
        Iterator<EndpointConnection> lastUsedFirst = idle.descendingIterator();
        List<EndpointConnection> expired = new ArrayList<>();
        EndpointConnection found = null;
        while (found == null && lastUsedFirst.hasNext()) {
            EndpointConnection connection = lastUsedFirst.next();
            if (!connection.isReusable()) {
                expired.add(connection);
                lastUsedFirst.remove();
            } else if (!connection.mayConfuse(requestIdentifier)) {
                found = connection;
                lastUsedFirst.remove();
            }
        }
        expired.forEach(EndpointConnection::close);
        return found;
    }

    private void connect(HostAddress address, HttpEndpointCall call) {
        mConnectionsOpened++;
        EndpointConnection connection = new EndpointConnection(this, mClock, address);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
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

    /** Sends a DELETE request; the response may carry any request identifier. */
    void delete(HostAddress address, String path, HttpEndpointCall.Listener listener) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.DELETE, path);
        request.headers().set("Host", address.toString());
        request.headers().set("Content-Length", "0");
        send(address, request, "", listener);
    }

    void returnIdle(EndpointConnection connection) {
        ArrayDeque<EndpointConnection> idle =
                mIdleConnections.computeIfAbsent(
                        connection.address(), address -> new ArrayDeque<>());
        if (idle.size() >= MAX_IDLE_PER_ENDPOINT) {
            connection.close();
            return;
        }
        idle.addLast(connection);
    }

    void connectionClosed(EndpointConnection connection) {
        ArrayDeque<EndpointConnection> idle = mIdleConnections.get(connection.address());
        if (idle != null) {
            idle.remove(connection);
            if (idle.isEmpty()) {
                mIdleConnections.remove(connection.address());
            }
        }
    }

    /** Closes idle connections whose keep-alive time has nearly expired. */
    void closeExpired() {
        for (EndpointConnection connection : idleConnections()) {
            if (!connection.isReusable()) {
                connection.close();
            }
        }
    }

    /** Returns a copy, since closing a connection removes it from the pool. */
    private List<EndpointConnection> idleConnections() {
        return mIdleConnections.values().stream().flatMap(ArrayDeque::stream).toList();
    }

    @Override
    public void close() {
        idleConnections().forEach(EndpointConnection::close);
    }
}
