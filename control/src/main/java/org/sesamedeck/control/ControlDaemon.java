package org.sesamedeck.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import jakarta.inject.Inject;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Settings;
import org.sesamedeck.daemon.Drainable;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.wire.MessageTransport;

/** Runs the components of the control process on its control thread, from start to shutdown. */
public final class ControlDaemon implements Drainable {
    private static final System.Logger LOGGER = System.getLogger(ControlDaemon.class.getName());
    // Longer than a command executor takes to establish that none of its commands can still arrive.
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(10);
    private static final long SNAPSHOT_INTERVAL_MILLIS = 250;
    private static final long STALL_THRESHOLD_MILLIS = 2_000;

    private final Settings mSettings;
    private final Clock mClock;
    private final ControlThread mThread;
    private final MessageTransport mTransport;
    private final ControlComponents mComponents;
    private volatile Snapshot mSnapshot = new Snapshot(false, 0, 0, -1, 0, List.of(), 0);

    /** Immutable copy of the control state for readers on other threads. */
    private record Snapshot(
            boolean isRecovered,
            long version,
            int members,
            long confirmationAgeMillis,
            int leases,
            List<String> workInProgress,
            long takenAtMillis) {}

    @Inject
    ControlDaemon(
            Settings settings,
            Clock clock,
            ControlThread thread,
            MessageTransport transport,
            ControlComponents components) {
        mSettings = settings;
        mClock = clock;
        mThread = thread;
        mTransport = transport;
        mComponents = components;
    }

    /**
     * Listens for peers and schedules the first tick on the control thread.
     *
     * @throws org.sesamedeck.core.SesamedeckException with UNAVAILABLE when the address is in use
     */
    public void start() {
        HostAddress bound =
                mTransport.listen(
                        mSettings.get(ControlSettings.LISTEN), mComponents.messageHandler());
        LOGGER.log(System.Logger.Level.INFO, "listening for peers on {0}", bound);
        mThread.execute(this::tick);
    }

    private void tick() {
        try {
            mComponents.tick();
            if (nowMillis() - mSnapshot.takenAtMillis() >= SNAPSHOT_INTERVAL_MILLIS) {
                takeSnapshot();
            }
        } catch (RuntimeException failure) {
            LOGGER.log(System.Logger.Level.ERROR, "control tick failed", failure);
        }
        mThread.schedule(CoordinationNode.TICK_INTERVAL, this::tick);
    }

    private void takeSnapshot() {
        CoordinationNode node = mComponents.node();
        mSnapshot =
                new Snapshot(
                        node.state().isRecovered(),
                        node.state().inForce().version(),
                        node.membership().present().size(),
                        node.state().confirmationAge().map(Duration::toMillis).orElse(-1L),
                        mComponents.heldLeases().size(),
                        mComponents.workInProgress(),
                        nowMillis());
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mClock.nanoTime());
    }

    /** Returns whether the control thread has not completed a tick for 2 s. */
    public boolean isStalled() {
        return nowMillis() - mSnapshot.takenAtMillis() > STALL_THRESHOLD_MILLIS;
    }

    /** Registers the metrics of the control process. */
    public void registerMetrics(MetricRegistry metrics) {
        gauge(metrics, "configuration_version", () -> mSnapshot.version());
        gauge(metrics, "confirmation_age_millis", () -> mSnapshot.confirmationAgeMillis());
        gauge(metrics, "members", () -> mSnapshot.members());
        gauge(metrics, "leases_held", () -> mSnapshot.leases());
    }

    private static <T> void gauge(MetricRegistry metrics, String name, Gauge<T> gauge) {
        metrics.registerGauge("sesamedeck_control_" + name, gauge);
    }

    @Override
    public boolean isReady() {
        return mSnapshot.isRecovered() && !isStalled();
    }

    @Override
    public void stopAccepting() {
        // Peers and the entry process are served until release().
    }

    @Override
    public List<String> workInProgress() {
        return mSnapshot.workInProgress();
    }

    @Override
    public void release() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mThread.execute(
                () -> mComponents.stop().whenComplete((done, failure) -> stopped.complete(null)));
        try {
            stopped.get(RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            LOGGER.log(System.Logger.Level.INFO, "released all leases and left the membership");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException failure) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    "leases were not released within {0} s; they will expire",
                    RELEASE_TIMEOUT.toSeconds());
        }
        mThread.close();
        mTransport.close();
    }
}
