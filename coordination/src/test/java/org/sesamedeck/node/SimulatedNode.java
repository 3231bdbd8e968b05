package org.sesamedeck.node;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.lease.FormerHolder;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.lease.PayloadChange;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.wire.generated.Envelope;

/** A simulated process: a coordination node that can be paused and stopped. */
final class SimulatedNode implements ControlScheduler {
    private final Simulation mSimulation;
    private final int mIndex;
    private final CoordinationNode mNode;
    private final ConfigurationAcceptor mAcceptor;
    private final Queue<Runnable> mDeferredTasks = new ArrayDeque<>();
    private boolean mIsPaused;
    private boolean mIsStopped;
    private SimulatedLease mLease;
    private long mHighestVersion;
    private boolean mHasReverted;

    SimulatedNode(Simulation simulation, int index, long seed) {
        mSimulation = simulation;
        mIndex = index;
        PeerTransport transport = simulation.transportOf(this);
        mNode =
                CoordinationNode.create(
                        simulation.clock(),
                        new Random(seed),
                        this,
                        transport,
                        simulation.platform().storeFor(this),
                        simulation.platform().hostListFor(this),
                        Member.of(name(), address(), simulation.domainOf(index), region(index)),
                        List.of(Simulation.addressOf(0), Simulation.addressOf(1)));
        mAcceptor =
                ConfigurationAcceptor.create(
                        simulation.clock(),
                        this,
                        simulation.platform().storeFor(this),
                        transport,
                        mNode,
                        entry -> {});
    }

    /** A lease that is held until the test releases it. */
    private static final class SimulatedLease implements Lease {
        private boolean mIsHeld = true;

        @Override
        public ObjectKey key() {
            return ObjectKey.of("lease", "configuration");
        }

        @Override
        public long fencingNumber() {
            return 1;
        }

        @Override
        public Duration remaining() {
            return mIsHeld ? Duration.ofSeconds(5) : Duration.ZERO;
        }

        @Override
        public FormerHolder formerHolder() {
            return FormerHolder.none(0);
        }

        @Override
        public String payload() {
            return "";
        }

        @Override
        public CompletableFuture<Long> change(PayloadChange change) {
            throw new UnsupportedOperationException("not used by the acceptor");
        }

        @Override
        public List<String> unsettled() {
            return List.of();
        }

        @Override
        public CompletableFuture<Long> settle(Collection<String> nodes) {
            throw new UnsupportedOperationException("not used by the acceptor");
        }

        @Override
        public CompletableFuture<Void> release() {
            mIsHeld = false;
            return CompletableFuture.completedFuture(null);
        }
    }

    static String region(int index) {
        return "region-" + index % 3;
    }

    int index() {
        return mIndex;
    }

    String name() {
        return Simulation.nameOf(mIndex);
    }

    HostAddress address() {
        return Simulation.addressOf(mIndex);
    }

    CoordinationNode node() {
        return mNode;
    }

    ConfigurationAcceptor acceptor() {
        return mAcceptor;
    }

    long version() {
        return mNode.state().inForce().version();
    }

    boolean isAdmitting() {
        return !mIsPaused && !mIsStopped && mNode.state().admission().isAdmitting();
    }

    boolean hasReverted() {
        return mHasReverted;
    }

    boolean isRunning() {
        return !mIsPaused && !mIsStopped;
    }

    void run() {
        mNode.state()
                .addListener(
                        accepted -> {
                            mHasReverted |= accepted.version() < mHighestVersion;
                            mHighestVersion = Math.max(mHighestVersion, accepted.version());
                        });
        tick();
    }

    private void tick() {
        if (!mIsStopped) {
            mNode.tick();
            schedule(CoordinationNode.TICK_INTERVAL, this::tick);
        }
    }

    CompletableFuture<Envelope> handle(Envelope message) {
        return mNode.handle(message).orElseThrow();
    }

    /** Makes this node the holder of the configuration lease, even if another node acts as one. */
    void acquireLease() {
        mLease = new SimulatedLease();
        execute(() -> mAcceptor.start(mLease));
    }

    /** Makes this node accept every candidate by writing it, without asking any other node. */
    void acceptWithoutMajority() {
        execute(() -> NaiveAcceptor.start(mSimulation, this));
    }

    void loseLease() {
        if (mLease != null) {
            mLease.release();
        }
    }

    void pause() {
        mIsPaused = true;
    }

    void resume() {
        mIsPaused = false;
        for (Runnable task = mDeferredTasks.poll(); task != null; task = mDeferredTasks.poll()) {
            execute(task);
        }
    }

    void stop() {
        mIsStopped = true;
        loseLease();
    }

    @Override
    public void execute(Runnable task) {
        if (mIsStopped) {
            return;
        }
        if (mIsPaused) {
            mDeferredTasks.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        mSimulation.after(delay, () -> execute(task));
    }
}
