package org.sesamedeck.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.platform.HostList;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;

/** The object API and the host list in memory, with outages, lost responses and missed events. */
final class SimulatedPlatform {
    static final String NAME = "platform";
    private static final Duration WATCH_POLL_INTERVAL = Duration.ofMillis(20);

    private final Simulation mSimulation;
    private final Map<ObjectKey, StoredObject> mObjects =
            new TreeMap<>(java.util.Comparator.comparing(ObjectKey::toString));
    private final Map<String, HostEntry> mHosts = new TreeMap<>();
    private final TreeMap<Long, Long> mAcceptedAt = new TreeMap<>();
    private long mVersion = 100;
    private boolean mIsDown;
    private int mResponsesToDrop;
    private double mMissedEventFraction;
    private long mExtraDelayNanos;
    private long mCalls;

    SimulatedPlatform(Simulation simulation) {
        mSimulation = simulation;
    }

    void addHost(int index) {
        mHosts.put(
                Simulation.nameOf(index),
                new HostEntry(
                        Simulation.nameOf(index),
                        Simulation.addressOf(index),
                        HostKind.NODE,
                        "",
                        mSimulation.domainOf(index),
                        SimulatedNode.region(index),
                        false));
    }

    void removeHost(int index) {
        mHosts.remove(Simulation.nameOf(index));
    }

    void setDown(boolean isDown) {
        mIsDown = isDown;
    }

    /** Makes the next writes take effect but lose their responses. */
    void dropResponses(int count) {
        mResponsesToDrop = count;
    }

    /** Sets the fraction of watches that miss a new version while they wait. */
    void setMissedEvents(double fraction) {
        mMissedEventFraction = fraction;
    }

    void setExtraDelay(Duration delay) {
        mExtraDelayNanos = delay.toNanos();
    }

    long calls() {
        return mCalls;
    }

    /** Returns the highest version that was accepted at least the given time ago. */
    long acceptedBefore(Duration age) {
        long limit = mSimulation.clock().nanoTime() - age.toNanos();
        return mAcceptedAt.entrySet().stream()
                .filter(entry -> entry.getValue() <= limit)
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    long accepted() {
        return acceptedBefore(Duration.ZERO);
    }

    Optional<StoredObject> read(ObjectKey key) {
        return Optional.ofNullable(mObjects.get(key));
    }

    /** Writes an object directly, without simulated network delay or faults. */
    long put(ObjectKey key, String value) {
        mObjects.put(key, new StoredObject(key, ++mVersion, value));
        if (key.equals(PlatformRelay.ACCEPTED)) {
            mAcceptedAt.putIfAbsent(
                    AcceptedConfiguration.parse(value).version(), mSimulation.clock().nanoTime());
        }
        return mVersion;
    }

    /** Writes a valid candidate whose plan has the given share. */
    long propose(int share) {
        return put(
                ConfigurationAcceptor.CANDIDATE_LISTS,
                new CandidateLists(
                                "[plan kitchens]\nshare = " + share + "\n",
                                "[plan kitchens]\nmodels = house-judge\n",
                                "operator",
                                "")
                        .toJson());
    }

    private static SesamedeckException failure(ResultCode code) {
        return SesamedeckException.of(code, "simulated platform failure");
    }

    /** Runs an operation at the platform after a delay and delivers the response after another. */
    private <T> CompletableFuture<T> perform(
            SimulatedNode node, boolean isWrite, Supplier<T> operation) {
        mCalls++;
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean isSent = !mIsDown && !mSimulation.isCut(node.name(), NAME);
        if (!isSent) {
            respond(node, result, null, failure(ResultCode.STORE_UNAVAILABLE));
            return result;
        }
        mSimulation.at(
                mSimulation.clock().nanoTime() + delay(),
                () -> {
                    T value;
                    try {
                        value = operation.get();
                    } catch (SesamedeckException refused) {
                        respond(node, result, null, refused);
                        return;
                    }
                    boolean isLost = mSimulation.isCut(NAME, node.name());
                    if (isWrite && mResponsesToDrop > 0) {
                        mResponsesToDrop--;
                        isLost = true;
                    }
                    respond(
                            node,
                            result,
                            value,
                            isLost
                                    ? failure(
                                            isWrite
                                                    ? ResultCode.STORE_OUTCOME_UNKNOWN
                                                    : ResultCode.STORE_UNAVAILABLE)
                                    : null);
                });
        return result;
    }

    private <T> void respond(
            SimulatedNode node, CompletableFuture<T> result, T value, SesamedeckException failure) {
        mSimulation.at(
                mSimulation.clock().nanoTime() + delay(),
                () ->
                        node.execute(
                                () -> {
                                    if (failure == null) {
                                        result.complete(value);
                                    } else {
                                        result.completeExceptionally(failure);
                                    }
                                }));
    }

    private long delay() {
        return mSimulation.delayNanos()
                + (long) (mSimulation.random().nextDouble() * mExtraDelayNanos);
    }

    HostList hostListFor(SimulatedNode node) {
        return () -> perform(node, false, () -> List.copyOf(mHosts.values()));
    }

    ObjectStore storeFor(SimulatedNode node) {
        return new NodeStore(node);
    }

    private final class NodeStore implements ObjectStore {
        private final SimulatedNode mNode;

        private NodeStore(SimulatedNode node) {
            mNode = node;
        }

        @Override
        public CompletableFuture<Optional<StoredObject>> get(ObjectKey key) {
            return perform(mNode, false, () -> read(key));
        }

        @Override
        public CompletableFuture<List<StoredObject>> list(String kind) {
            return perform(mNode, false, () -> new ArrayList<>(mObjects.values()));
        }

        @Override
        public CompletableFuture<Long> create(ObjectKey key, String value) {
            return write(key, 0, value);
        }

        @Override
        public CompletableFuture<Long> update(ObjectKey key, long expectedVersion, String value) {
            return write(key, expectedVersion, value);
        }

        private CompletableFuture<Long> write(ObjectKey key, long expected, String value) {
            return perform(
                    mNode,
                    true,
                    () -> {
                        if (read(key).map(StoredObject::version).orElse(0L) != expected) {
                            throw failure(ResultCode.VERSION_CONFLICT);
                        }
                        return put(key, value);
                    });
        }

        @Override
        public CompletableFuture<Void> delete(ObjectKey key, long expectedVersion) {
            throw new UnsupportedOperationException("the simulation does not delete objects");
        }

        @Override
        public CompletableFuture<Optional<StoredObject>> watch(
                ObjectKey key, long afterVersion, Duration wait) {
            CompletableFuture<Optional<StoredObject>> result = new CompletableFuture<>();
            boolean missesEvent = mSimulation.random().nextDouble() < mMissedEventFraction;
            long end = mSimulation.clock().nanoTime() + wait.toNanos();
            perform(mNode, false, () -> null)
                    .whenComplete(
                            (ignored, failure) -> {
                                if (failure != null) {
                                    result.completeExceptionally(failure);
                                } else {
                                    poll(key, afterVersion, end, missesEvent, result);
                                }
                            });
            return result;
        }

        private void poll(
                ObjectKey key,
                long afterVersion,
                long end,
                boolean missesEvent,
                CompletableFuture<Optional<StoredObject>> result) {
            boolean isOver = mSimulation.clock().nanoTime() >= end;
            Optional<StoredObject> newer =
                    read(key).filter(object -> object.version() > afterVersion);
            if (mIsDown || mSimulation.isCut(NAME, mNode.name())) {
                respond(mNode, result, null, failure(ResultCode.STORE_UNAVAILABLE));
            } else if (isOver || (newer.isPresent() && !missesEvent)) {
                respond(mNode, result, missesEvent ? Optional.empty() : newer, null);
            } else {
                mSimulation.after(
                        WATCH_POLL_INTERVAL,
                        () -> poll(key, afterVersion, end, missesEvent, result));
            }
        }

        @Override
        public void close() {}
    }
}
