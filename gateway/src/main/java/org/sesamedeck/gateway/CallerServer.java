package org.sesamedeck.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.HashSet;
import java.util.Set;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.request.RequestEngine;
import org.sesamedeck.request.ServingConfiguration;
import org.sesamedeck.request.TrafficLimits;

/** Accepts callers. Confined to one event loop. */
public final class CallerServer implements AutoCloseable {
    private static final int BACKLOG = 1024;

    private final EventLoop mLoop;
    private final CallerFormat mFormat;
    private final RequestEngine mEngine;
    private final EndpointClient mEndpoints;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private Channel mListener;
    private boolean mIsStopping;

    private CallerServer(
            EventLoop loop, CallerFormat format, RequestEngine engine, EndpointClient endpoints) {
        mLoop = loop;
        mFormat = format;
        mEngine = engine;
        mEndpoints = endpoints;
    }

    /** Returns a server that does not listen yet. */
    public static CallerServer create(
            EventLoop loop, CallerFormat format, RequestEngine engine, EndpointClient endpoints) {
        return new CallerServer(loop, format, engine, endpoints);
    }

    /**
     * Begins to accept callers; waits until the port is bound.
     *
     * @throws java.net.BindException if the port is taken
     */
    public void listen(HostAddress address) throws InterruptedException {
        mListener =
                new ServerBootstrap()
                        .group(mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
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
        CallerConnection connection = new CallerConnection(this, mFormat, mEngine, mEndpoints);
        channel.pipeline()
                .addLast(
                        new ByteArrivalHandler(connection),
                        new HttpServerCodec(
                                new HttpDecoderConfig()
                                        .setMaxInitialLineLength(limits.headerBytes())
                                        .setMaxHeaderSize(limits.headerBytes())),
                        connection);
    }

    TrafficLimits limits() {
        return mEngine.configuration()
                .map(ServingConfiguration::limits)
                .orElse(TrafficLimits.initial());
    }

    /** Returns the number of open connections of callers. */
    public int connections() {
        return mConnections.size();
    }

    boolean isStopping() {
        return mIsStopping;
    }

    void opened(CallerConnection connection) {
        mConnections.add(connection);
    }

    void closed(CallerConnection connection) {
        mConnections.remove(connection);
    }

    /** From now on each answer tells its caller that the connection ends with it. */
    public void beginStop() {
        mIsStopping = true;
    }

    /** Closes connections on which no request is in progress. */
    public void closeIdle() {
        for (CallerConnection connection : Set.copyOf(mConnections)) {
            connection.closeIfIdle();
        }
    }

    @Override
    public void close() {
        if (mListener != null) {
            mListener.close();
        }
        for (CallerConnection connection : Set.copyOf(mConnections)) {
            connection.close();
        }
    }
}
