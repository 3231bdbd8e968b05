package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.routing.AccountShares;
import org.sesamedeck.routing.AccountUsage;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointLoad;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.LoadMessage;
import org.sesamedeck.routing.LoadScope;
import org.sesamedeck.routing.PrefixUpdate;
import org.sesamedeck.routing.RouterSettings;
import org.sesamedeck.routing.UsageSummary;
import org.sesamedeck.routing.quarantine.PartQuarantine;
import org.sesamedeck.routing.quarantine.QuarantineListener;

/** Tests the exchange of load messages over real datagrams. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class PeerExchangeTest {
    private static final int ENDPOINTS = 200;
    private static final int PREFIXES = 256;

    private static LoadMessage fleetLoad() {
        List<EndpointLoad> loads = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            loads.add(new EndpointLoad("i-9f3c21d8" + i, 3_000_000_000L + i, 40));
        }
        List<PrefixUpdate> updates = new ArrayList<>();
        for (int i = 0; i < PREFIXES; i++) {
            updates.add(new PrefixUpdate("i-9f3c21d8" + i, -i));
        }
        return new LoadMessage("node-b", 7, 1, LoadScope.PROCESS, loads, updates);
    }

    /** Guards against fields that a message loses on its way through the codec. */
    @Test
    void decodedMessageEqualsTheEncodedOne() {
        LoadMessage message = fleetLoad();
        LoadMessage decoded =
                LoadMessageCodec.decode(LoadMessageCodec.encode(message)).orElseThrow();
        assertThat(decoded.sender(), is(message.sender()));
        assertThat(decoded.scope(), is(message.scope()));
        assertThat(decoded.processes(), is(message.processes()));
        assertThat(decoded.prefixUpdates(), is(message.prefixUpdates()));
        assertThat(decoded.loads(), hasSize(ENDPOINTS));
    }

    /**
     * Guards against sums over a fleet that do not fit the receive buffer: with 62 processes they
     * were truncated and ignored, so that no process knew the load of the others.
     */
    @Test
    void sumOverALargeFleetIsReceived() throws Exception {
        EventLoop loop =
                (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        HostAddress address = HostAddress.of("127.0.0.1", freePort());
        DefaultRouter router =
                DefaultRouter.create(
                        SystemClock.create(), RouterSettings.defaults("east"), "node-a", 1);
        router.updateEndpoints(List.of(engine("i-9f3c21d80")));
        try (PeerExchange exchange =
                        new PeerExchange(
                                loop,
                                SystemClock.create(),
                                router,
                                PartQuarantine.create(
                                        SystemClock.create(),
                                        "node-a",
                                        QuarantineListener.ignoring()),
                                "node-a",
                                address,
                                1,
                                count -> {});
                DatagramSocket peer = new DatagramSocket()) {
            exchange.start();
            byte[] bytes = LoadMessageCodec.encode(fleetLoad());
            long until = System.nanoTime() + Duration.ofSeconds(20).toNanos();
            while (router.expectedWaitNanos("models") == 0 && System.nanoTime() < until) {
                peer.send(
                        new DatagramPacket(
                                bytes,
                                bytes.length,
                                InetAddress.getByName("127.0.0.1"),
                                address.port()));
                Thread.sleep(50);
            }
            assertThat(router.expectedWaitNanos("models"), is(3_000_000_000L));
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Guards against usage of client accounts that is measured but neither sent nor taken in. */
    @Test
    void usageOfAccountsIsExchanged() throws Exception {
        EventLoop loop =
                (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        HostAddress address = HostAddress.of("127.0.0.1", freePort());
        AccountShares shares = AccountShares.create(SystemClock.create());
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                PeerExchange exchange = exchange(loop, address)) {
            exchange.setAccountShares(shares);
            exchange.changed(
                    List.of(
                            new Feed.Item<>(
                                    "node-b",
                                    Optional.of(HostAddress.of("127.0.0.1", peer.getLocalPort())),
                                    false)));
            exchange.start();
            shares.record("library", 5_000);
            assertThat(receivedUsage(peer).get(0).account(), is("library"));
            send(peer, address, new AccountUsage("deck", 700));
            long until = System.nanoTime() + Duration.ofSeconds(20).toNanos();
            while (!accounts(shares).contains("deck") && System.nanoTime() < until) {
                Thread.sleep(50);
            }
            assertThat(accounts(shares), hasItem("deck"));
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Guards against changes of endpoints that any host in the network could make up. */
    @Test
    void changesAreTakenFromKnownPeersOnly() throws Exception {
        EventLoop loop =
                (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        HostAddress address = HostAddress.of("127.0.0.1", freePort());
        InetAddress local = InetAddress.getByName("127.0.0.1");
        Set<Long> received = ConcurrentHashMap.newKeySet();
        try (DatagramSocket peer = new DatagramSocket(0, local);
                DatagramSocket stranger = new DatagramSocket(0, local);
                PeerExchange exchange = exchange(loop, address)) {
            exchange.changed(
                    List.of(
                            new Feed.Item<>(
                                    "node-b",
                                    Optional.of(HostAddress.of("127.0.0.1", peer.getLocalPort())),
                                    false)));
            WatchPace pace = WatchPace.within(Duration.ofSeconds(4), Duration.ofSeconds(4));
            exchange.sharingWatchSchedule("things", pace, Duration.ofSeconds(4))
                    .setFollower(changes -> true, changes -> received.add(changes.revision()));
            exchange.start();
            long until = System.nanoTime() + Duration.ofSeconds(20).toNanos();
            while (received.isEmpty() && System.nanoTime() < until) {
                sendChanges(stranger, address, 8);
                sendChanges(peer, address, 9);
                Thread.sleep(50);
            }
            assertThat(received, is(Set.of(9L)));
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void sendChanges(DatagramSocket from, HostAddress to, long revision)
            throws Exception {
        byte[] bytes =
                SharedChangesCodec.encode(
                        new SharedChanges("node-b", "things", 7, revision, new byte[] {1}));
        from.send(new DatagramPacket(bytes, bytes.length, to.toSocketAddress()));
    }

    private static List<String> accounts(AccountShares shares) {
        return shares.total().heaviest().stream().map(AccountUsage::account).toList();
    }

    /** Returns the usage in the first message that carries some. */
    private static List<AccountUsage> receivedUsage(DatagramSocket peer) throws Exception {
        while (true) {
            DatagramPacket packet = new DatagramPacket(new byte[4_096], 4_096);
            peer.receive(packet);
            byte[] bytes = Arrays.copyOf(packet.getData(), packet.getLength());
            Optional<UsageSummary> usage =
                    LoadMessageCodec.decode(bytes).flatMap(LoadMessage::usage);
            if (usage.isPresent()) {
                return usage.get().heaviest();
            }
        }
    }

    private static void send(DatagramSocket peer, HostAddress to, AccountUsage usage)
            throws Exception {
        byte[] bytes =
                LoadMessageCodec.encode(
                        new LoadMessage(
                                "node-b",
                                7,
                                1,
                                LoadScope.PROCESS,
                                List.of(),
                                List.of(),
                                List.of(),
                                Optional.of(UsageSummary.of(List.of(usage))),
                                1,
                                0));
        peer.send(
                new DatagramPacket(
                        bytes, bytes.length, InetAddress.getByName("127.0.0.1"), to.port()));
    }

    private static PeerExchange exchange(EventLoop loop, HostAddress address) {
        return new PeerExchange(
                loop,
                SystemClock.create(),
                DefaultRouter.create(
                        SystemClock.create(), RouterSettings.defaults("east"), "node-a", 1),
                PartQuarantine.create(
                        SystemClock.create(), "node-a", QuarantineListener.ignoring()),
                "node-a",
                address,
                1,
                count -> {});
    }

    private static EndpointDescription engine(String name) {
        return new EndpointDescription(
                name,
                HostAddress.of("10.0.0.1", 80),
                "models",
                "east-a",
                "east",
                true,
                false,
                false,
                EndpointRole.PREFILL,
                Set.of("m"));
    }

    private static int freePort() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
