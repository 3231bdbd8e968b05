package org.sesamedeck.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.LinkedHashSet;
import java.util.Set;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.request.RequestHandler;
import org.sesamedeck.request.ServingConfiguration;
import org.sesamedeck.request.TrafficLimits;

/** HTTP server that accepts connections of callers. Confined to one event loop. */
public final class CallerServer implements AutoCloseable {
    private static final int BACKLOG = 1024;

    /**
     * Accepted connections inherit it. Without it the system keeps megabytes for each connection
     * that is not read from, which count as memory of this process.
     */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1_024;

    /**
     * The system reports progress of a caller when a third of the buffer is free. With the
     * megabytes that it would choose, a caller that reads slowly looks like one that reads nothing.
     */
    private static final int SEND_BUFFER_BYTES = 128 * 1_024;

    private static final int MIN_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2 * 1_024;

    /** Bounds what one read may decode: heads with many fields take 60 times their size. */
    private static final int MAX_READ_BYTES = 16 * 1_024;

    /** After these reads the other connections have their turn. */
    private static final int READS_PER_TURN = 4;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final HeaderCodec mHeaderCodec;
    private final RequestHandler mRequestHandler;
    private final EndpointClient mEndpointClient;
    private final CallerLimits mCallerLimits;
    private final CallerMemory mMemory;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private long mConnectionsRefused;
    private Channel mListener;
    private boolean mIsStopping;

    private CallerServer(
            EventLoop loop,
            Clock clock,
            HeaderCodec headerCodec,
            RequestHandler requestHandler,
            EndpointClient endpointClient,
            CallerLimits callerLimits) {
        mLoop = loop;
        mClock = clock;
        mHeaderCodec = headerCodec;
        mRequestHandler = requestHandler;
        mEndpointClient = endpointClient;
        mCallerLimits = callerLimits;
        mMemory = CallerMemory.of(clock, EventLoopTimers.of(loop), callerLimits.memoryBytes());
    }

    /** Returns a server that does not listen yet, with limits that suit default settings. */
    public static CallerServer create(
            EventLoop loop,
            Clock clock,
            HeaderCodec headerCodec,
            RequestHandler requestHandler,
            EndpointClient endpointClient) {
        return create(
                loop, clock, headerCodec, requestHandler, endpointClient, CallerLimits.defaults());
    }

    /** Returns a server that does not listen yet. */
    public static CallerServer create(
            EventLoop loop,
            Clock clock,
            HeaderCodec headerCodec,
            RequestHandler requestHandler,
            EndpointClient endpointClient,
            CallerLimits callerLimits) {
        return new CallerServer(
                loop, clock, headerCodec, requestHandler, endpointClient, callerLimits);
    }

    /**
     * Starts accepting connections; blocks until the port is bound.
     *
     * @throws java.net.BindException if the port is in use
     */
    public void listen(HostAddress address) throws InterruptedException {
        mListener =
                new ServerBootstrap()
                        .group(mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                        .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                                MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                        .maxMessagesPerRead(READS_PER_TURN))
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
        TrafficLimits limits = limits();
        CallerConnection connection =
                new CallerConnection(this, mHeaderCodec, mRequestHandler, mEndpointClient);
        HttpHeadersFactory headers =
                MeteredHeaders.factory(connection.reader()::fieldReceived, limits.headerBytes());
        channel.pipeline()
                .addLast(
                        connection.gate(),
                        new HttpServerCodec(
                                new HttpDecoderConfig()
                                        .setMaxInitialLineLength(limits.headerBytes())
                                        .setMaxHeaderSize(limits.headerBytes())
                                        .setHeadersFactory(headers)
                                        .setTrailersFactory(headers)),
                        connection);
    }

    Clock clock() {
        return mClock;
    }

    TrafficLimits limits() {
        return mRequestHandler
                .configuration()
                .map(ServingConfiguration::limits)
                .orElse(TrafficLimits.initial());
    }

    /** Returns the number of open connections. */
    public int connections() {
        return mConnections.size();
    }

    boolean isStopping() {
        return mIsStopping;
    }

    CallerMemory memory() {
        return mMemory;
    }

    /** Returns how many connections were closed to make room for others, or for want of room. */
    public long connectionsRefused() {
        return mConnectionsRefused;
    }

    /** Returns how many callers were ended because memory was short. */
    public long callersReclaimed() {
        return mMemory.reclaimed();
    }

    /** Returns the memory reserved for callers, in bytes. */
    public long memoryUsed() {
        return mMemory.usedBytes();
    }

    /**
     * Admits a connection. Beyond the limit the one that was opened first of those that have no
     * request in progress makes room, so that callers who open connections without using them keep
     * nobody out.
     */
    void connectionOpened(CallerConnection connection) {
        mConnections.add(connection);
        if (mConnections.size() <= mCallerLimits.connections()) {
            return;
        }
        mConnectionsRefused++;
        long now = mClock.nanoTime();
        CallerConnection closed =
                mConnections.stream()
                        .filter(other -> other.yieldsToNew(now))
                        .findFirst()
                        .orElse(connection);
        mConnections.remove(closed);
        closed.close();
    }

    void connectionClosed(CallerConnection connection) {
        mConnections.remove(connection);
    }

    /** From now on each response announces that the connection is closed after it. */
    public void announceShutdown() {
        mIsStopping = true;
    }

    /** Refuses new connections from now on; those that were accepted stay open. */
    public void stopListening() {
        if (mListener != null) {
            mListener.close();
        }
    }

    /** Closes connections on which no request is in progress or about to come. */
    public void closeIdle() {
        for (CallerConnection connection : Set.copyOf(mConnections)) {
            connection.closeIfIdle(mClock.nanoTime());
        }
    }

    @Override
    public void close() {
        stopListening();
        for (CallerConnection connection : Set.copyOf(mConnections)) {
            connection.close();
        }
    }
}
