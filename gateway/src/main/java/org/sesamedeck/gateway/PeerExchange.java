package org.sesamedeck.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.routing.EndpointLoad;
import org.sesamedeck.routing.PeerLoads;
import org.sesamedeck.routing.PrefixUpdate;
import org.sesamedeck.routing.Router;
import org.sesamedeck.wire.generated.EndpointShare;
import org.sesamedeck.wire.generated.LoadShare;
import org.sesamedeck.wire.generated.PrefixShare;

/**
 * Exchanges load and prefix updates with the other processes by datagrams: sends how much work this
 * process has at each endpoint and which prompt prefixes the endpoints hold, and gives the router
 * what the others send. The load in a lost datagram is superseded by the next one, whereas prefix
 * updates are not sent again; correctness does not depend on delivery. Confined to one event loop.
 */
final class PeerExchange implements FeedFollower.Listener<HostAddress>, AutoCloseable {
    /** Send interval with few peers; the router's error grows with the age of the load data. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(100);

    /** Limit on the datagrams that one process sends to all peers together. */
    private static final int MAX_DATAGRAMS_PER_SECOND = 200;

    private static final long NANOS_PER_MICRO = 1_000;

    private final EventLoop mLoop;
    private final Router mRouter;
    private final String mNode;
    private final long mIncarnation;
    private final HostAddress mOwnAddress;
    private final IntConsumer mProcessCountListener;
    private final PeerLoads mPeerLoads;
    private final Map<String, InetSocketAddress> mPeers = new HashMap<>();
    private Channel mChannel;
    private long mSequence;
    private boolean mWasIdle;

    /**
     * Creates an exchange that has not started.
     *
     * @param incarnation random number that identifies this run of the process
     * @param processCountListener receives the number of registered processes, including this one
     */
    PeerExchange(
            EventLoop loop,
            Clock clock,
            Router router,
            String node,
            HostAddress ownAddress,
            long incarnation,
            IntConsumer processCountListener) {
        mProcessCountListener = processCountListener;
        mLoop = loop;
        mRouter = router;
        mNode = node;
        mOwnAddress = ownAddress;
        mIncarnation = incarnation;
        mPeerLoads = PeerLoads.create(clock);
    }

    /** Binds the datagram port; blocks until it is bound. */
    void start() throws InterruptedException {
        mChannel =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Receiver())
                        .bind(mOwnAddress.toSocketAddress())
                        .sync()
                        .channel();
        mLoop.execute(this::exchangeLoad);
    }

    private void exchangeLoad() {
        List<EndpointLoad> ownLoads = mRouter.ownLoad();
        boolean isIdle = ownLoads.isEmpty();
        List<PrefixUpdate> prefixUpdates = mRouter.takePrefixUpdates();
        // Repeated idle messages carry no information; the first one clears the load at the peers.
        if (!isIdle || !mWasIdle || !prefixUpdates.isEmpty()) {
            send(ownLoads, prefixUpdates);
        }
        mWasIdle = isIdle;
        if (mPeerLoads.peers() > 0) {
            mRouter.updatePeerLoad(mPeerLoads.totals());
        }
        mLoop.schedule(this::exchangeLoad, interval().toNanos(), TimeUnit.NANOSECONDS);
    }

    private Duration interval() {
        Duration rateLimitedInterval =
                Duration.ofMillis(1_000L * mPeers.size() / MAX_DATAGRAMS_PER_SECOND);
        return rateLimitedInterval.compareTo(MIN_INTERVAL) > 0 ? rateLimitedInterval : MIN_INTERVAL;
    }

    private void send(List<EndpointLoad> ownLoads, List<PrefixUpdate> prefixUpdates) {
        LoadShare.Builder message =
                LoadShare.newBuilder()
                        .setNode(mNode)
                        .setIncarnation(mIncarnation)
                        .setSequence(++mSequence);
        for (EndpointLoad load : ownLoads) {
            message.addEndpoints(
                    EndpointShare.newBuilder()
                            .setEndpoint(load.endpoint())
                            .setWaitingMicros(load.waitingNanos() / NANOS_PER_MICRO)
                            .setRunning(load.running()));
        }
        for (PrefixUpdate update : prefixUpdates) {
            message.addPrefixes(
                    PrefixShare.newBuilder().setEndpoint(update.endpoint()).setHash(update.hash()));
        }
        byte[] bytes = message.build().toByteArray();
        for (InetSocketAddress peer : mPeers.values()) {
            mChannel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer));
        }
        mChannel.flush();
    }

    @Override
    public void listed(List<Feed.Item<HostAddress>> items) {
        mPeers.clear();
        changed(items);
    }

    @Override
    public void changed(List<Feed.Item<HostAddress>> items) {
        for (Feed.Item<HostAddress> item : items) {
            boolean isPeer = item.value().isPresent() && !item.value().get().equals(mOwnAddress);
            if (isPeer) {
                mPeers.put(item.name(), item.value().get().toSocketAddress());
            } else {
                mPeers.remove(item.name());
            }
        }
        mProcessCountListener.accept(mPeers.size() + 1);
    }

    @Override
    public void storeUnavailable() {}

    @Override
    public void storeRecovered() {}

    @Override
    public void close() {
        if (mChannel != null) {
            mChannel.close();
        }
    }

    /** Receives the messages of peers. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            LoadShare message;
            try {
                message = LoadShare.parseFrom(ByteBufUtil.getBytes(packet.content()));
            } catch (InvalidProtocolBufferException malformed) {
                // Datagrams from unrelated senders may arrive at any port.
                return;
            }
            List<EndpointLoad> loads = new ArrayList<>(message.getEndpointsCount());
            for (EndpointShare share : message.getEndpointsList()) {
                loads.add(
                        new EndpointLoad(
                                share.getEndpoint(),
                                share.getWaitingMicros() * NANOS_PER_MICRO,
                                share.getRunning()));
            }
            for (PrefixShare share : message.getPrefixesList()) {
                mRouter.applyPrefixUpdate(new PrefixUpdate(share.getEndpoint(), share.getHash()));
            }
            mPeerLoads.receive(
                    message.getNode(), message.getIncarnation(), message.getSequence(), loads);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // An undeliverable datagram means that the peer is down, which its missing messages
            // show as well.
        }
    }
}
