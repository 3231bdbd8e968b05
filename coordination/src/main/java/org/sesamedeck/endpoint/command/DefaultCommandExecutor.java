package org.sesamedeck.endpoint.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.platform.AuditEntry;
import org.sesamedeck.platform.AuditTrail;
import org.sesamedeck.platform.ControlScheduler;

/**
 * Executes commands under one held lease; each lease needs its own executor.
 *
 * <p>The intent is made durable before anything is sent, in the object that also holds the lease. A
 * late command of a former holder is therefore always the recorded command or one that was
 * confirmed before it, and the next holder knows both. It must also not take effect after a
 * different command. Engines that check fencing numbers reject it: each command carries the version
 * that the record of its intent replaced, which increases with each command and each holder. For
 * engines that ignore fencing numbers, the takeover rule bounds the time until it arrives.
 */
public final class DefaultCommandExecutor implements CommandExecutor {
    private static final Logger LOGGER = System.getLogger(DefaultCommandExecutor.class.getName());

    /**
     * Timeout of a run. An engine may never respond again, and other commands to it are refused
     * during a run.
     */
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration RELEASE_POLL_INTERVAL = Duration.ofMillis(50);

    private final CommandContext mContext;
    private final AuditTrail mAudit;
    private final String mNode;
    private final Map<String, EngineExecutionState> mExecutionStates = new HashMap<>();
    private final CompletableFuture<Void> mReleased = new CompletableFuture<>();
    private boolean mIsClosing;
    private long mCommandCount;

    private DefaultCommandExecutor(
            Lease lease,
            EngineCommandSender sender,
            ControlScheduler scheduler,
            Clock clock,
            CommandSettings settings,
            AuditTrail audit,
            String node) {
        mContext =
                new CommandContext(
                        LeasedCommandLog.of(lease),
                        sender,
                        scheduler,
                        clock,
                        settings,
                        TakeoverRule.of(lease, clock, settings),
                        () -> mIsClosing);
        mAudit = audit;
        mNode = node;
    }

    /**
     * Returns an executor for a lease that was just acquired.
     *
     * @param node name of this node, for the audit trail
     */
    public static DefaultCommandExecutor create(
            Lease lease,
            EngineCommandSender sender,
            ControlScheduler scheduler,
            Clock clock,
            CommandSettings settings,
            AuditTrail audit,
            String node) {
        DefaultCommandExecutor executor =
                new DefaultCommandExecutor(lease, sender, scheduler, clock, settings, audit, node);
        executor.scheduleSettlement();
        return executor;
    }

    /** Settles the former holders once none of their commands can still arrive. */
    private void scheduleSettlement() {
        Lease lease = mContext.commandLog().lease();
        if (lease.unsettled().isEmpty()
                || mContext.settings().unfencedTakeover() != UnfencedTakeover.CONNECTION_LIMIT) {
            return;
        }
        List<String> formerNodes = List.copyOf(lease.unsettled());
        mContext.scheduler()
                .schedule(
                        Duration.ofNanos(mContext.takeoverRule().formerHolderArrivalNanos()),
                        () -> logFailure(lease.settle(formerNodes)));
    }

    @Override
    public CompletableFuture<Void> recover(Collection<EngineTarget> engines) {
        List<CompletableFuture<?>> runs = new ArrayList<>();
        Map<String, CommandRecord> log = log().engines();
        for (EngineTarget engine : engines) {
            EngineExecutionState executionState = executionStateOf(engine);
            CommandRecord last = log.get(engine.name());
            boolean isOpen = last != null && last.state() == CommandState.OPEN;
            if (mIsClosing
                    || executionState.isBusy()
                    || (executionState.isRecovered() && !isOpen)) {
                continue;
            }
            executionState.setBusy(true);
            runs.add(
                    CommandRun.start(
                                    mContext, engine, executionState, Optional.empty(), RUN_TIMEOUT)
                            .exceptionally(
                                    failure -> {
                                        SesamedeckException exception =
                                                SesamedeckException.from(failure);
                                        if (exception.code() == ResultCode.LEASE_LOST) {
                                            throw exception;
                                        }
                                        LOGGER.log(
                                                Level.WARNING,
                                                "recovery of engine {0} failed; will retry: {1}",
                                                engine.name(),
                                                exception.getMessage());
                                        return Optional.empty();
                                    }));
        }
        return CompletableFuture.allOf(runs.toArray(CompletableFuture[]::new));
    }

    @Override
    public CompletableFuture<CommandRecord> execute(
            EngineTarget engine, CommandKind kind, Map<String, String> arguments, String cause) {
        EngineExecutionState executionState = executionStateOf(engine);
        if (mIsClosing) {
            return refuse(ResultCode.STOPPING, "executor is stopping and accepts no commands");
        }
        if (!mContext.commandLog().lease().isHeld()) {
            return refuse(ResultCode.LEASE_LOST, "lease of the engine group has ended");
        }
        if (executionState.isBusy()) {
            return refuse(
                    ResultCode.IN_PROGRESS, "a command to " + engine.name() + " is in progress");
        }
        executionState.setBusy(true);
        mCommandCount++;
        Lease lease = mContext.commandLog().lease();
        String id =
                String.format("%s-%d-%d", lease.key().name(), lease.fencingNumber(), mCommandCount);
        CommandRecord requested =
                new CommandRecord(id, 0, kind, Map.copyOf(arguments), CommandState.OPEN);
        Optional<CommandRecord> previous = mContext.commandLog().lastCommand(engine.name());
        return CommandRun.start(
                        mContext, engine, executionState, Optional.of(requested), RUN_TIMEOUT)
                .thenApply(
                        ended -> {
                            CommandRecord record = ended.orElseThrow();
                            audit(engine, previous, record, cause);
                            if (record.state() == CommandState.REFUSED) {
                                throw SesamedeckException.of(
                                        ResultCode.INTERNAL_ERROR,
                                        "engine " + engine.name() + " refused command " + record);
                            }
                            return record;
                        });
    }

    private void audit(
            EngineTarget engine,
            Optional<CommandRecord> previous,
            CommandRecord record,
            String cause) {
        mAudit.record(
                new AuditEntry(
                        record.id(),
                        mNode,
                        cause,
                        mContext.commandLog().lease().key() + " engine " + engine.name(),
                        previous.map(CommandRecord::toString).orElse(""),
                        record.toString(),
                        record.fencingNumber()));
    }

    @Override
    public CompletableFuture<Void> removeEngine(String engineName) {
        EngineExecutionState executionState = mExecutionStates.get(engineName);
        if (executionState != null && executionState.isBusy()) {
            return refuse(ResultCode.IN_PROGRESS, "a command to " + engineName + " is in progress");
        }
        return mContext.commandLog().removeEngine(engineName).thenApply(version -> null);
    }

    @Override
    public CompletableFuture<Void> onHostRemoved(String node) {
        Lease lease = mContext.commandLog().lease();
        return lease.unsettled().contains(node)
                ? lease.settle(List.of(node)).thenApply(version -> null)
                : CompletableFuture.completedFuture(null);
    }

    @Override
    public CommandLog log() {
        return mContext.commandLog().current();
    }

    @Override
    public CompletableFuture<Void> release() {
        if (!mIsClosing) {
            mIsClosing = true;
            releaseWhenIdle();
        }
        return mReleased;
    }

    private void releaseWhenIdle() {
        Lease lease = mContext.commandLog().lease();
        long now = mContext.clock().nanoTime();
        boolean isIdle =
                mExecutionStates.values().stream()
                        .allMatch(
                                executionState ->
                                        !executionState.isBusy()
                                                && executionState.remainingArrivalNanos(now) == 0);
        if (!isIdle && lease.isHeld()) {
            mContext.scheduler().schedule(RELEASE_POLL_INTERVAL, this::releaseWhenIdle);
            return;
        }
        lease.release()
                .whenComplete(
                        (nothing, failure) -> {
                            if (failure == null) {
                                mReleased.complete(null);
                            } else {
                                mReleased.completeExceptionally(failure);
                            }
                        });
    }

    private EngineExecutionState executionStateOf(EngineTarget engine) {
        return mExecutionStates.computeIfAbsent(engine.name(), name -> new EngineExecutionState());
    }

    private static <T> CompletableFuture<T> refuse(ResultCode code, String message) {
        return CompletableFuture.failedFuture(SesamedeckException.of(code, message));
    }

    private static void logFailure(CompletableFuture<?> change) {
        change.exceptionally(
                failure -> {
                    LOGGER.log(
                            Level.DEBUG,
                            "former holders could not be marked as settled: {0}",
                            failure);
                    return null;
                });
    }
}
