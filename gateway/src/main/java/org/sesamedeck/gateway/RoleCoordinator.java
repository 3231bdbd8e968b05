package org.sesamedeck.gateway;

import java.time.Duration;
import java.time.Instant;
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
import org.sesamedeck.routing.RoleChangeChoice;

/**
 * Changes roles of engines, one change at a time per service across all processes. Confined to one
 * thread.
 *
 * <p>Any process may request a change. The process that replaces the service's record in the store,
 * by a conditional write on the version that it read, may send one command. The command's fencing
 * number is the version that the store assigned to that write, so it is unique and every later
 * write gets a higher one. The other processes find the record changed and leave the service alone
 * until they have observed the same version for the quiet period, measured by their own monotonic
 * clocks. The quiet period is much longer than a command may take. A process that was paused
 * between its write and its command sends a stale fencing number, which the engine rejects; a
 * command that arrives late finds that the engine has accepted another command in the meantime. No
 * lease is renewed, so a service with balanced roles causes no store traffic.
 *
 * <p>A process whose own write is the latest one needs no quiet period before its next command: no
 * other process can have obtained a right in between.
 */
public final class RoleCoordinator {
    private static final String KIND = "engine-roles";

    /**
     * Time for which the version of a service's record must stay unchanged before the next role
     * change.
     */
    private static final Duration QUIET_PERIOD = Duration.ofSeconds(9);

    /**
     * A write that took longer does not lead to a command, since the desired role may be outdated.
     */
    private static final Duration MAX_ACQUISITION_TIME = Duration.ofMillis(1_500);

    /**
     * A right that is older is not used. Engines that ignore fencing numbers would carry out the
     * command of a process that was paused until after another one had obtained the right; the
     * quiet period is longer than this time and that of a command together.
     */
    private static final Duration MAX_RIGHT_AGE = Duration.ofSeconds(2);

    private static final Duration RETRY_DELAY = Duration.ofSeconds(3);

    /** Delay of the process that wrote last, after a command that was answered. */
    private static final Duration NEXT_COMMAND_DELAY = Duration.ofMillis(500);

    private final Clock mClock;
    private final ObjectStore mStore;
    private final EngineCommandClient mCommandClient;
    private final DecisionLog mLog;
    private final String mHolder;
    private final long mIncarnation;
    private final Map<String, ServiceState> mServices = new HashMap<>();
    private long mWrites;

    /** Last known state of one service's record. */
    private static final class ServiceState {
        private long mVersion;
        private long mObservedNanos;
        private boolean mIsBusy;
        private boolean mIsOwnVersion;
        private Duration mDelay = RETRY_DELAY;
        private Optional<Long> mLastAttemptNanos = Optional.empty();
    }

    private RoleCoordinator(
            Clock clock,
            ObjectStore store,
            EngineCommandClient commandClient,
            DecisionLog log,
            String holder,
            long incarnation) {
        mClock = clock;
        mStore = store;
        mCommandClient = commandClient;
        mLog = log;
        mHolder = holder;
        mIncarnation = incarnation;
    }

    /**
     * Returns a coordinator.
     *
     * @param holder name of this process
     * @param incarnation random number that identifies this run of the process
     */
    public static RoleCoordinator create(
            Clock clock,
            ObjectStore store,
            EngineCommandClient commandClient,
            DecisionLog log,
            String holder,
            long incarnation) {
        return new RoleCoordinator(clock, store, commandClient, log, holder, incarnation);
    }

    /**
     * Requests one more engine of a role; may be called at any rate.
     *
     * @return whether this process now tries to obtain the right to change one
     */
    public boolean requestRole(
            String service, EndpointRole role, List<EndpointDescription> engines) {
        ServiceState state = mServices.computeIfAbsent(service, name -> new ServiceState());
        long now = mClock.nanoTime();
        boolean attemptedRecently =
                state.mLastAttemptNanos.map(at -> now - at < state.mDelay.toNanos()).orElse(false);
        Optional<EndpointDescription> engine = RoleChangeChoice.choose(engines, role);
        if (state.mIsBusy || attemptedRecently || engine.isEmpty() || isQuietPeriod(state)) {
            return false;
        }
        state.mIsBusy = true;
        state.mDelay = RETRY_DELAY;
        state.mLastAttemptNanos = Optional.of(now);
        ObjectKey key = ObjectKey.of(KIND, service);
        mStore.get(key)
                .thenCompose(stored -> acquire(state, key, stored, engine.get(), role))
                .thenCompose(
                        version ->
                                version.isEmpty()
                                        ? CompletableFuture.completedFuture(null)
                                        : sendCommand(state, engine.get(), role, version.get()))
                .whenComplete(
                        (done, failure) -> {
                            state.mIsBusy = false;
                            if (failure != null) {
                                failed(service, failure);
                            }
                        });
        return true;
    }

    private boolean isQuietPeriod(ServiceState state) {
        return state.mVersion != 0
                && !state.mIsOwnVersion
                && mClock.nanoTime() - state.mObservedNanos < QUIET_PERIOD.toNanos();
    }

    /**
     * Returns the version of this process's write, or empty if another process wrote first or the
     * write took too long.
     */
    private CompletableFuture<Optional<Long>> acquire(
            ServiceState state,
            ObjectKey key,
            Optional<StoredObject> stored,
            EndpointDescription engine,
            EndpointRole role) {
        long found = stored.map(StoredObject::version).orElse(0L);
        if (found != state.mVersion) {
            observe(state, found);
            state.mIsOwnVersion = false;
            return CompletableFuture.completedFuture(Optional.empty());
        }
        long startNanos = mClock.nanoTime();
        // A write that changes nothing gets no new version, and a right without one is that of an
        // earlier command. So no two writes have the same text.
        String number = Long.toHexString(mIncarnation) + "-" + ++mWrites;
        String value = mHolder + " " + engine.name() + " " + role + " " + number;
        CompletableFuture<Long> written =
                found == 0 ? mStore.create(key, value) : mStore.update(key, found, value);
        return written.handle(
                (version, failure) -> {
                    if (failure != null) {
                        // Another process may have written, or this write may have taken effect:
                        // waits the quiet period in either case. Version 0 would skip it.
                        state.mVersion = Math.max(1, found);
                        state.mIsOwnVersion = false;
                        state.mObservedNanos = mClock.nanoTime();
                        throw SesamedeckException.from(failure);
                    }
                    observe(state, version);
                    state.mIsOwnVersion = true;
                    boolean isLate =
                            mClock.nanoTime() - startNanos > MAX_ACQUISITION_TIME.toNanos();
                    return isLate ? Optional.empty() : Optional.of(version);
                });
    }

    private void observe(ServiceState state, long version) {
        state.mVersion = version;
        state.mObservedNanos = mClock.nanoTime();
    }

    private CompletableFuture<Void> sendCommand(
            ServiceState state, EndpointDescription engine, EndpointRole role, long fencingNumber) {
        long acquiredNanos = mClock.nanoTime();
        Instant acquired = mClock.now();
        return mCommandClient
                .status(engine)
                .thenCompose(
                        status -> {
                            boolean isNeeded = status.role() != role && !status.isChanging();
                            if (!isNeeded || isRightExpired(acquiredNanos, acquired)) {
                                return CompletableFuture.completedFuture(null);
                            }
                            mLog.record(
                                    entry(Decision.ORDER_SENT, engine)
                                            .with("role", role)
                                            .with("fencingNumber", fencingNumber)
                                            .with("acceptedOrders", status.acceptedCommands()));
                            return mCommandClient
                                    .setRole(
                                            engine,
                                            role,
                                            mHolder,
                                            fencingNumber,
                                            status.acceptedCommands())
                                    .thenAccept(result -> commandCompleted(state, engine, result));
                        });
    }

    /**
     * Returns whether the right to send a command is too old to be used. The monotonic clock may
     * stand still while the host is suspended and the time of day may jump, so both must agree that
     * it is recent.
     */
    private boolean isRightExpired(long acquiredNanos, Instant acquired) {
        Duration byTimeOfDay = Duration.between(acquired, mClock.now()).abs();
        return mClock.nanoTime() - acquiredNanos > MAX_RIGHT_AGE.toNanos()
                || byTimeOfDay.compareTo(MAX_RIGHT_AGE) > 0;
    }

    private void commandCompleted(
            ServiceState state,
            EndpointDescription engine,
            EngineCommandClient.CommandResult result) {
        state.mDelay = NEXT_COMMAND_DELAY;
        mLog.record(entry(Decision.ORDER_ANSWERED, engine).with("result", result));
    }

    private void failed(String service, Throwable failure) {
        SesamedeckException exception = SesamedeckException.from(failure);
        boolean isExpected = exception.code() == ResultCode.VERSION_CONFLICT;
        mLog.record(
                LogEntry.of(
                                isExpected ? Decision.ORDER_LEFT_TO_OTHER : Decision.ORDER_IN_DOUBT,
                                mClock.nanoTime())
                        .with("service", service)
                        .with("code", exception.code().number())
                        .with("cause", String.valueOf(exception.getMessage())));
    }

    private LogEntry entry(Decision decision, EndpointDescription engine) {
        return LogEntry.of(decision, mClock.nanoTime()).with("endpoint", engine.name());
    }
}
