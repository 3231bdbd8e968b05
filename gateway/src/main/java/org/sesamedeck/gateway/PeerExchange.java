package org.sesamedeck.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.gateway.duty.DutyMessageCodec;
import org.sesamedeck.gateway.duty.DutyTransport;
import org.sesamedeck.routing.AccountShares;
import org.sesamedeck.routing.FleetProgress;
import org.sesamedeck.routing.LoadExchange;
import org.sesamedeck.routing.LoadMessage;
import org.sesamedeck.routing.OutgoingLoad;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.quarantine.PartQuarantine;
import org.sesamedeck.routing.quarantine.PartReport;

/**
 * Exchanges load, prefix updates and reports on prompt parts with the other processes by datagrams:
 * sends how much work this process has at each endpoint, which prompt prefixes the endpoints hold
 * and which prompts endpoints crashed under, and gives router and quarantine what the others send.
 * The load in a lost datagram is superseded by the next one and reports are repeated, whereas
 * prefix updates are not sent again; correctness does not depend on delivery. Confined to one event
 * loop.
 */
final class PeerExchange
        implements FeedFollower.Listener<HostAddress>, DutyTransport, AutoCloseable {
    /** The router's error grows with the age of the load data. */
    private static final Duration MESH_INTERVAL = Duration.ofMillis(100);

    /** Relayed loads travel three hops, each of which adds up to one interval to their age. */
    private static final Duration RELAY_INTERVAL = Duration.ofMillis(200);

    /**
     * Longer datagrams are truncated and ignored. The sum over a fleet names up to 200 endpoints
     * and 256 prefixes with some 25 bytes each; the default of Netty is 2,048 bytes.
     */
    private static final int MAX_DATAGRAM_BYTES = 16 * 1024;

    private final EventLoop mLoop;
    private final Router mRouter;
    private final String mNode;
    private final HostAddress mOwnAddress;
    private final IntConsumer mProcessCountListener;
    private final LoadExchange mExchange;
    private final Clock mClock;
    private final PartQuarantine mQuarantine;
    private final Random mRandom;
    private final FleetProgress mProgress;
    private final Map<String, InetSocketAddress> mPeers = new HashMap<>();
    private Optional<AccountShares> mAccountShares = Optional.empty();
    private final ChangeSharing mChangeSharing;
    private Optional<DutyTransport.Listener> mDutyListener = Optional.empty();
    private Channel mChannel;

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
            PartQuarantine quarantine,
            String node,
            HostAddress ownAddress,
            long incarnation,
            IntConsumer processCountListener) {
        mProcessCountListener = processCountListener;
        mLoop = loop;
        mClock = clock;
        mRouter = router;
        mQuarantine = quarantine;
        mNode = node;
        mOwnAddress = ownAddress;
        mExchange = LoadExchange.create(clock, node, incarnation);
        mRandom = new Random(incarnation);
        mProgress = FleetProgress.create(clock);
        mChangeSharing =
                new ChangeSharing(
                        node,
                        mExchange::recipientsOfChanges,
                        mRandom,
                        (bytes, to) -> sendAtOnce(bytes, to));
    }

    /** Sets what measures the usage of client accounts; must be called before the start. */
    void setAccountShares(AccountShares shares) {
        mAccountShares = Optional.of(shares);
    }

    /** Binds the datagram port; blocks until it is bound. */
    void start() throws InterruptedException {
        mChannel =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioDatagramChannel.class)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                        .handler(new Receiver())
                        .bind(mOwnAddress.toSocketAddress())
                        .sync()
                        .channel();
        mLoop.execute(this::exchangeLoad);
    }

    /**
     * Returns the schedule on which this process follows a kind of objects that all processes
     * follow.
     *
     * @param pace pace of a process that follows the objects on its own
     */
    FleetWatchSchedule watchSchedule(String kind, WatchPace pace) {
        return new FleetWatchSchedule(
                kind, pace, mProgress, mExchange::isFullMesh, mExchange::isStoreWatcher);
    }

    /**
     * Returns the schedule of a kind of objects whose changes the processes pass on to each other.
     *
     * @param pace pace of a process that follows the objects on its own
     * @param bound time from the acknowledgement of a change until it must be in force
     */
    WatchSchedule sharingWatchSchedule(String kind, WatchPace pace, Duration bound) {
        FleetWatchSchedule schedule = watchSchedule(kind, pace);
        schedule.enableSharing(mChangeSharing, bound);
        return schedule;
    }

    /** Returns the number of processes whose load is known, including this one. */
    int heardProcesses() {
        return mExchange.heardProcesses();
    }

    /** Adds figures of the exchange in the Prometheus text format; called from any thread. */
    void write(MetricsText text) {
        mChangeSharing.write(text);
    }

    private void exchangeLoad() {
        mExchange.updateStoreProgress(mExchange.isFullMesh() ? List.of() : mProgress.toTell());
        mAccountShares.map(AccountShares::own).ifPresent(mExchange::updateOwnUsage);
        mExchange.round(mRouter.ownLoad(), mRouter.takePrefixUpdates()).forEach(this::send);
        mChannel.flush();
        mExchange.peerTotals().ifPresent(mRouter::updatePeerLoad);
        mAccountShares.ifPresent(shares -> shares.updatePeers(mExchange.peerUsage()));
        Duration interval = mExchange.isFullMesh() ? MESH_INTERVAL : RELAY_INTERVAL;
        mLoop.schedule(this::sendPartReports, interval.toNanos() / 2, TimeUnit.NANOSECONDS);
        mLoop.schedule(this::exchangeLoad, interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Sends the reports between two rounds of load messages, and in another order each time: a slow
     * link drops the last datagrams of a burst, which must not always be those to the same process.
     */
    private void sendPartReports() {
        List<PartReport> reports = mQuarantine.takeReports();
        if (!reports.isEmpty()) {
            byte[] bytes = PartReportCodec.encode(mNode, reports, mClock.nanoTime());
            List<String> recipients = new ArrayList<>(mExchange.neighbors());
            Collections.shuffle(recipients, mRandom);
            send(bytes, recipients);
            mChannel.flush();
        }
    }

    private void send(OutgoingLoad outgoing) {
        send(LoadMessageCodec.encode(outgoing.message()), outgoing.recipients());
    }

    private void send(byte[] bytes, Collection<String> recipients) {
        for (String recipient : recipients) {
            InetSocketAddress address = mPeers.get(recipient);
            if (address != null) {
                mChannel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
            }
        }
    }

    @Override
    public void setDutyListener(DutyTransport.Listener listener) {
        mDutyListener = Optional.of(listener);
    }

    @Override
    public void sendDutyMessage(byte[] bytes, Collection<String> recipients) {
        sendAtOnce(bytes, recipients);
    }

    private void sendAtOnce(byte[] bytes, Collection<String> recipients) {
        send(bytes, recipients);
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
        List<String> names = namesByAddress();
        mExchange.updateProcesses(names);
        mQuarantine.updateProcesses(names);
        mDutyListener.ifPresent(listener -> listener.processesChanged(names));
        mProcessCountListener.accept(mPeers.size() + 1);
    }

    /** Sorts by address, since hosts with similar addresses are usually near each other. */
    private List<String> namesByAddress() {
        Map<String, InetSocketAddress> all = new HashMap<>(mPeers);
        all.put(mNode, mOwnAddress.toSocketAddress());
        return all.entrySet().stream()
                .sorted(
                        Map.Entry.<String, InetSocketAddress>comparingByValue(
                                        Comparator.comparing(
                                                address -> address.getAddress().getAddress(),
                                                Arrays::compareUnsigned))
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .toList();
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
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            if (DutyMessageCodec.isDutyMessage(bytes)) {
                mDutyListener.ifPresent(listener -> listener.received(bytes));
                return;
            }
            if (SharedChangesCodec.isSharedChanges(bytes)) {
                // Any host can send to this port, and changes are acted on as if the store told.
                if (mPeers.containsValue(packet.sender())) {
                    SharedChangesCodec.decode(bytes).ifPresent(mChangeSharing::receive);
                }
                return;
            }
            Optional<LoadMessage> load = LoadMessageCodec.decode(bytes);
            if (load.isPresent()) {
                load.get().prefixUpdates().forEach(mRouter::applyPrefixUpdate);
                mProgress.receive(load.get());
                mExchange.receive(load.get());
            } else {
                mQuarantine.receive(PartReportCodec.decode(bytes, mClock.nanoTime()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // An undeliverable datagram means that the peer is down, which its missing messages
            // show as well.
        }
    }
}
