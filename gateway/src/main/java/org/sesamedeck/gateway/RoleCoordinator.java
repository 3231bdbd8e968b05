package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.RoleSwapChoice;

/**
 * Changes roles of engines, one change at a time for each service over all processes. Confined to
 * one thread.
 *
 * <p>Every process may wish a change. Whoever replaces the service's record in the store under the
 * version that it read has the right to one order, whose fencing number is the version that the
 * store gave to that write: no other process can have it, and every later right has a higher one.
 * The others find the record changed and leave the service alone until they have seen the same
 * version for the quiet time by their own steady clocks, which is much longer than an order may
 * take. A process that was paused between its write and its order sends an old number, which the
 * engine refuses; one whose order is carried out late finds that the engine has accepted another
 * order meanwhile. No lease is renewed, so a service whose roles fit costs the store nothing.
 */
public final class RoleCoordinator {
    private static final String KIND = "engine-roles";

    /** Time for which the last change of a service must be seen before the next one. */
    private static final Duration QUIET = Duration.ofSeconds(9);

    /** A right that took longer to obtain is not used; the wish may be outdated. */
    private static final Duration MAX_ACQUISITION = Duration.ofMillis(1_500);

    private static final Duration RETRY = Duration.ofSeconds(3);

    private final Clock mClock;
    private final ObjectStore mStore;
    private final EngineOrders mOrders;
    private final DecisionLog mLog;
    private final String mHolder;
    private final Map<String, ServiceState> mServices = new HashMap<>();

    /** What is known of the record of one service. */
    private static final class ServiceState {
        private long mVersion;
        private long mSeenNanos;
        private boolean mIsBusy;
        private Optional<Long> mTriedNanos = Optional.empty();
    }

    private RoleCoordinator(
            Clock clock, ObjectStore store, EngineOrders orders, DecisionLog log, String holder) {
        mClock = clock;
        mStore = store;
        mOrders = orders;
        mLog = log;
        mHolder = holder;
    }

    /**
     * Returns a coordinator.
     *
     * @param holder name of this host
     */
    public static RoleCoordinator create(
            Clock clock, ObjectStore store, EngineOrders orders, DecisionLog log, String holder) {
        return new RoleCoordinator(clock, store, orders, log, holder);
    }

    /** Takes the wish for one more engine of a role; may be called at any rate. */
    public void wish(String service, EndpointRole role, List<EndpointDescription> engines) {
        ServiceState state = mServices.computeIfAbsent(service, name -> new ServiceState());
        long now = mClock.nanoTime();
        boolean triedLately = state.mTriedNanos.map(at -> now - at < RETRY.toNanos()).orElse(false);
        Optional<EndpointDescription> engine = RoleSwapChoice.choose(engines, role);
        if (state.mIsBusy || triedLately || engine.isEmpty() || isQuietTime(state)) {
            return;
        }
        state.mIsBusy = true;
        state.mTriedNanos = Optional.of(now);
        ObjectKey key = ObjectKey.of(KIND, service);
        mStore.get(key)
                .thenCompose(stored -> acquire(state, key, stored, engine.get(), role))
                .thenCompose(
                        version ->
                                version.isEmpty()
                                        ? CompletableFuture.completedFuture(null)
                                        : order(engine.get(), role, version.get()))
                .whenComplete(
                        (done, failure) -> {
                            state.mIsBusy = false;
                            if (failure != null) {
                                failed(service, failure);
                            }
                        });
    }

    private boolean isQuietTime(ServiceState state) {
        return state.mVersion != 0 && mClock.nanoTime() - state.mSeenNanos < QUIET.toNanos();
    }

    /** Returns the version of the own write, or empty when another process was first. */
    private CompletableFuture<Optional<Long>> acquire(
            ServiceState state,
            ObjectKey key,
            Optional<StoredObject> stored,
            EndpointDescription engine,
            EndpointRole role) {
        long found = stored.map(StoredObject::version).orElse(0L);
        if (found != state.mVersion) {
            see(state, found);
            return CompletableFuture.completedFuture(Optional.empty());
        }
        long began = mClock.nanoTime();
        String value = mHolder + " " + engine.name() + " " + role;
        CompletableFuture<Long> written =
                found == 0 ? mStore.create(key, value) : mStore.update(key, found, value);
        return written.handle(
                (version, failure) -> {
                    if (failure != null) {
                        // Whoever wrote, or if this write took effect after all: wait as for it.
                        state.mVersion = Math.max(1, found);
                        state.mSeenNanos = mClock.nanoTime();
                        throw SesamedeckException.from(failure);
                    }
                    see(state, version);
                    boolean isLate = mClock.nanoTime() - began > MAX_ACQUISITION.toNanos();
                    return isLate ? Optional.empty() : Optional.of(version);
                });
    }

    private void see(ServiceState state, long version) {
        state.mVersion = version;
        state.mSeenNanos = mClock.nanoTime();
    }

    private CompletableFuture<Void> order(
            EndpointDescription engine, EndpointRole role, long fencingNumber) {
        return mOrders.status(engine)
                .thenCompose(
                        status -> {
                            if (status.role() == role || status.isChanging()) {
                                return CompletableFuture.completedFuture(null);
                            }
                            mLog.record(
                                    entry(Decision.ORDER_SENT, engine)
                                            .with("role", role)
                                            .with("fencingNumber", fencingNumber)
                                            .with("acceptedOrders", status.acceptedOrders()));
                            return mOrders.setRole(
                                            engine,
                                            role,
                                            mHolder,
                                            fencingNumber,
                                            status.acceptedOrders())
                                    .thenAccept(result -> answered(engine, result));
                        });
    }

    private void answered(EndpointDescription engine, EngineOrders.OrderResult result) {
        mLog.record(entry(Decision.ORDER_ANSWERED, engine).with("result", result));
    }

    private void failed(String service, Throwable failure) {
        SesamedeckException coded = SesamedeckException.from(failure);
        boolean isExpected = coded.code() == ResultCode.VERSION_CONFLICT;
        mLog.record(
                LogEntry.of(
                                isExpected ? Decision.ORDER_LEFT_TO_OTHER : Decision.ORDER_IN_DOUBT,
                                mClock.nanoTime())
                        .with("service", service)
                        .with("code", coded.code().number())
                        .with("cause", String.valueOf(coded.getMessage())));
    }

    private LogEntry entry(Decision decision, EndpointDescription engine) {
        return LogEntry.of(decision, mClock.nanoTime()).with("endpoint", engine.name());
    }
}
