package org.sesamedeck.proof;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.endpoint.command.CommandKind;
import org.sesamedeck.endpoint.command.CommandLog;
import org.sesamedeck.endpoint.command.CommandSettings;
import org.sesamedeck.endpoint.command.CommandState;
import org.sesamedeck.endpoint.command.DefaultCommandExecutor;
import org.sesamedeck.endpoint.command.EngineCommandSender;
import org.sesamedeck.endpoint.command.EngineGroupKeys;
import org.sesamedeck.endpoint.command.EngineTarget;
import org.sesamedeck.endpoint.command.UnfencedTakeover;
import org.sesamedeck.lease.DefaultLeaseManager;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.lease.LeaseManager;
import org.sesamedeck.lease.LeaseObject;
import org.sesamedeck.lease.LeaseSettings;

/** The production control process, with lease, recorded intent, fencing and takeover rule. */
final class FencedController implements SimulatedController {
    private final ControllerEnvironment mEnvironment;
    private final LeaseManager mLeaseManager;
    private final EngineCommandSender mSender;
    private final CommandSettings mSettings;
    private Consumer<Lease> mOnAcquired = lease -> {};
    private DefaultCommandExecutor mExecutor;

    private FencedController(
            ControllerEnvironment environment,
            EngineCommandSender sender,
            CommandSettings settings) {
        mEnvironment = environment;
        mSender = sender;
        mSettings = settings;
        mLeaseManager =
                DefaultLeaseManager.create(
                        environment.store(),
                        environment.process(),
                        environment.clock(),
                        LeaseSettings.standard(),
                        environment.name(),
                        HostAddress.of("127.0.0.1", 1),
                        "process");
    }

    static SimulatedController create(ControllerEnvironment environment) {
        return new FencedController(environment, environment.sender(), standardSettings());
    }

    /** Returns a naive version that opens the connection only after the lease check. */
    static SimulatedController createConnectingAfterLeaseCheck(ControllerEnvironment environment) {
        return new FencedController(
                environment, LateConnectionSender.of(environment.sender()), standardSettings());
    }

    /** Returns a naive version that sends all commands with the same fencing number. */
    static SimulatedController createWithoutFencingNumbers(ControllerEnvironment environment) {
        return new FencedController(
                environment,
                FixedFencingNumberSender.of(environment.sender(), () -> Long.MAX_VALUE),
                standardSettings());
    }

    /** Returns a naive version whose commands carry the fencing number of the acquisition. */
    static SimulatedController createWithOneFencingNumberPerHolder(
            ControllerEnvironment environment) {
        AtomicLong number = new AtomicLong();
        FencedController controller =
                new FencedController(
                        environment,
                        FixedFencingNumberSender.of(environment.sender(), number::get),
                        standardSettings());
        controller.mOnAcquired = lease -> number.set(lease.fencingNumber());
        return controller;
    }

    /** Returns a naive version that does not wait for late commands. */
    static SimulatedController createWithoutWait(ControllerEnvironment environment) {
        CommandSettings settings =
                new CommandSettings(
                        UnfencedTakeover.CONNECTION_LIMIT,
                        Duration.ZERO,
                        Duration.ZERO,
                        Duration.ZERO,
                        Duration.ofMillis(200));
        return new FencedController(environment, environment.sender(), settings);
    }

    private static CommandSettings standardSettings() {
        return CommandSettings.of(
                UnfencedTakeover.CONNECTION_LIMIT, SimulatedEngine.CONNECTION_LIMIT);
    }

    @Override
    public void start() {
        mLeaseManager
                .acquire(EngineGroupKeys.key(0), (lease, reason) -> restart())
                .thenAccept(this::onAcquired);
    }

    private void restart() {
        mExecutor = null;
        start();
    }

    private void onAcquired(Lease lease) {
        mOnAcquired.accept(lease);
        mEnvironment.sender().setHolderNumber(mEnvironment.nextHolderNumber().getAsLong());
        DefaultCommandExecutor executor =
                DefaultCommandExecutor.create(
                        lease,
                        mSender,
                        mEnvironment.process(),
                        mEnvironment.clock(),
                        mSettings,
                        entry -> {},
                        mEnvironment.name());
        mExecutor = executor;
        recover(executor);
    }

    private void recover(DefaultCommandExecutor executor) {
        executor.recover(mEnvironment.engines());
        mEnvironment
                .process()
                .schedule(
                        Duration.ofSeconds(5),
                        () -> {
                            if (mExecutor == executor) {
                                recover(executor);
                            }
                        });
    }

    @Override
    public void setRole(EngineTarget engine, String role) {
        if (mExecutor != null) {
            mExecutor.execute(engine, CommandKind.SET_ROLE, Map.of("role", role), "test");
        }
    }

    @Override
    public void release() {
        DefaultCommandExecutor executor = mExecutor;
        if (executor != null) {
            executor.release()
                    .thenRun(
                            () -> {
                                if (mExecutor == executor) {
                                    restart();
                                }
                            });
        }
    }

    @Override
    public boolean areCommandsCompleted(String groupValue) {
        return log(groupValue).engines().values().stream()
                .allMatch(record -> record.state() == CommandState.DONE);
    }

    @Override
    public Map<String, String> recordedRoles(String groupValue) {
        Map<String, String> roles = new TreeMap<>();
        log(groupValue)
                .engines()
                .forEach((engine, record) -> roles.put(engine, record.arguments().get("role")));
        return roles;
    }

    private static CommandLog log(String groupValue) {
        return CommandLog.parse(LeaseObject.parse(groupValue).payload());
    }
}
