package org.sesamedeck.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.Envelope;

/**
 * Runs nodes on one manual clock over a simulated network with seeded delay, loss and cut links.
 */
final class Simulation {
    private final ManualClock mClock = ManualClock.create();
    private final Random mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private final Map<String, SimulatedNode> mNodes = new TreeMap<>();
    private final Set<String> mCuts = new HashSet<>();
    private final SimulatedPlatform mPlatform;
    private long mNextOrder;
    private double mLoss;
    private long mMaxDelayNanos = Duration.ofMillis(3).toNanos();
    private final Map<HostAddress, SimulatedNode> mNodesByAddress = new HashMap<>();
    private final Traffic mTraffic = new Traffic();
    private int mDomains = 3;

    private record Event(long time, long order, Runnable task) {}

    Simulation(long seed) {
        mRandom = new Random(seed);
        mPlatform = new SimulatedPlatform(this);
    }

    ManualClock clock() {
        return mClock;
    }

    Random random() {
        return mRandom;
    }

    SimulatedPlatform platform() {
        return mPlatform;
    }

    SimulatedNode node(int index) {
        return mNodes.get(nameOf(index));
    }

    List<SimulatedNode> nodes() {
        return List.copyOf(mNodes.values());
    }

    /** Returns counters of the messages and bytes that nodes have sent. */
    Traffic traffic() {
        return mTraffic;
    }

    long messages() {
        return mTraffic.messages();
    }

    long bytes() {
        return mTraffic.bytes();
    }

    /** Sets the number of failure domains; to be called before the nodes start. */
    void setDomains(int domains) {
        mDomains = domains;
    }

    String domainOf(int index) {
        return "domain-" + index % mDomains;
    }

    void setLoss(double loss) {
        mLoss = loss;
    }

    void setMaxDelay(Duration delay) {
        mMaxDelayNanos = delay.toNanos();
    }

    static String nameOf(int index) {
        return String.format("node-%03d", index);
    }

    static HostAddress addressOf(int index) {
        return HostAddress.of("10.0." + index / 200 + "." + (1 + index % 200), 7000);
    }

    /** Creates nodes 0 to count - 1 in the failure domains and puts them into the host list. */
    void start(int count) {
        for (int i = 0; i < count; i++) {
            mPlatform.addHost(i);
        }
        for (int i = 0; i < count; i++) {
            restart(i);
        }
    }

    /** Starts a node, or restarts it without its former state. */
    SimulatedNode restart(int index) {
        SimulatedNode former = mNodes.get(nameOf(index));
        if (former != null) {
            former.stop();
        }
        SimulatedNode node = new SimulatedNode(this, index, mRandom.nextLong());
        mNodes.put(node.name(), node);
        mNodesByAddress.put(node.address(), node);
        node.run();
        return node;
    }

    void at(long time, Runnable task) {
        mEvents.add(new Event(Math.max(time, mClock.nanoTime()), mNextOrder++, task));
    }

    void after(Duration delay, Runnable task) {
        at(mClock.nanoTime() + delay.toNanos(), task);
    }

    void run(Duration duration) {
        long end = mClock.nanoTime() + duration.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().time() <= end) {
            Event event = mEvents.poll();
            mClock.advance(Duration.ofNanos(event.time() - mClock.nanoTime()));
            event.task().run();
        }
        mClock.advance(Duration.ofNanos(end - mClock.nanoTime()));
    }

    /** Cuts one direction between two nodes, or a node and {@link SimulatedPlatform#NAME}. */
    void cut(String from, String to) {
        mCuts.add(from + ">" + to);
    }

    void cutBoth(String first, String second) {
        cut(first, second);
        cut(second, first);
    }

    /** Cuts a group off from the other nodes; only one side keeps its links to the platform. */
    void isolate(Set<Integer> group, boolean isPlatformReachableInGroup) {
        for (SimulatedNode node : nodes()) {
            boolean isInside = group.contains(node.index());
            if (isInside != isPlatformReachableInGroup) {
                cutBoth(node.name(), SimulatedPlatform.NAME);
            }
            for (SimulatedNode other : nodes()) {
                if (isInside != group.contains(other.index())) {
                    cut(node.name(), other.name());
                }
            }
        }
    }

    void heal() {
        mCuts.clear();
    }

    boolean isCut(String from, String to) {
        return mCuts.contains(from + ">" + to);
    }

    private boolean isLost(String from, String to) {
        return isCut(from, to) || mRandom.nextDouble() < mLoss;
    }

    long delayNanos() {
        return 200_000 + (long) (mRandom.nextDouble() * mMaxDelayNanos);
    }

    PeerTransport transportOf(SimulatedNode sender) {
        return new PeerTransport() {
            @Override
            public void send(HostAddress peer, Envelope message) {
                deliver(sender, peer, message, reply -> {});
            }

            @Override
            public CompletableFuture<Envelope> call(
                    HostAddress peer, Envelope message, Duration timeout) {
                CompletableFuture<Envelope> result = new CompletableFuture<>();
                deliver(
                        sender,
                        peer,
                        message,
                        reply -> {
                            if (reply.hasErrorReply()) {
                                result.completeExceptionally(
                                        Envelopes.toFailure(reply.getErrorReply()));
                            } else {
                                result.complete(reply);
                            }
                        });
                after(
                        timeout,
                        () ->
                                sender.execute(
                                        () ->
                                                result.completeExceptionally(
                                                        SesamedeckException.of(
                                                                ResultCode.PEER_TIMEOUT,
                                                                "no reply"))));
                return result;
            }
        };
    }

    private void deliver(
            SimulatedNode sender,
            HostAddress address,
            Envelope message,
            java.util.function.Consumer<Envelope> onReply) {
        mTraffic.count(sender.name(), message);
        SimulatedNode receiver = mNodesByAddress.get(address);
        if (receiver == null || isLost(sender.name(), receiver.name())) {
            return;
        }
        at(
                mClock.nanoTime() + delayNanos(),
                () ->
                        receiver.execute(
                                () ->
                                        receiver.handle(message)
                                                .whenComplete(
                                                        (reply, failure) ->
                                                                reply(
                                                                        receiver, sender, reply,
                                                                        failure, onReply))));
    }

    private void reply(
            SimulatedNode from,
            SimulatedNode to,
            Envelope reply,
            Throwable failure,
            java.util.function.Consumer<Envelope> onReply) {
        Envelope message =
                failure == null ? reply : Envelopes.error(SesamedeckException.from(failure));
        mTraffic.count(from.name(), message);
        if (!isLost(from.name(), to.name())) {
            at(mClock.nanoTime() + delayNanos(), () -> to.execute(() -> onReply.accept(message)));
        }
    }
}
