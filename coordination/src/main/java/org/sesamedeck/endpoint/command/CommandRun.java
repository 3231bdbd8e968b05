package org.sesamedeck.endpoint.command;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Recovers one engine or executes one command on it: completes the engine's open command first,
 * then either fences the engine or sends it the requested command.
 */
final class CommandRun {
    private static final Duration STATE_READ_RETRY_DELAY = Duration.ofMillis(500);

    private final CommandContext mContext;
    private final EngineTarget mEngine;
    private final EngineExecutionState mExecutionState;
    private final long mDeadlineNanos;
    private final CompletableFuture<Optional<CommandRecord>> mResult = new CompletableFuture<>();
    private final Optional<CommandRecord> mRequested;

    private CommandRun(
            CommandContext context,
            EngineTarget engine,
            EngineExecutionState executionState,
            Optional<CommandRecord> requested,
            Duration timeout) {
        mContext = context;
        mEngine = engine;
        mExecutionState = executionState;
        mRequested = requested;
        mDeadlineNanos = context.clock().nanoTime() + timeout.toNanos();
    }

    /**
     * Starts a run.
     *
     * @param requested the new command, without a fencing number; empty to only recover the engine
     * @param timeout time after which the run fails; a command that is still open is left to the
     *     next run
     * @return the requested command as confirmed or refused; empty when the engine was only
     *     recovered
     */
    static CompletableFuture<Optional<CommandRecord>> start(
            CommandContext context,
            EngineTarget engine,
            EngineExecutionState executionState,
            Optional<CommandRecord> requested,
            Duration timeout) {
        CommandRun run = new CommandRun(context, engine, executionState, requested, timeout);
        run.completeOpenCommand();
        return run.mResult;
    }

    private void completeOpenCommand() {
        Optional<CommandRecord> open =
                mContext.commandLog()
                        .lastCommand(mEngine.name())
                        .filter(record -> record.state() == CommandState.OPEN);
        if (open.isEmpty()) {
            readEngineState();
            return;
        }
        deliver(open.get(), ended -> readEngineState());
    }

    private void deliver(CommandRecord record, Consumer<CommandRecord> next) {
        // A command recorded by a former holder is sent with the fencing number of this
        // lease, which also fences the former holder.
        long fencingNumber =
                Math.max(record.fencingNumber(), mContext.commandLog().lease().fencingNumber());
        EngineCommand command =
                new EngineCommand(record.id(), fencingNumber, record.kind(), record.arguments());
        mContext.onControlThread(
                CommandDelivery.start(mContext, mEngine, mExecutionState, command, mDeadlineNanos),
                state -> {
                    CommandRecord ended = record.withState(state);
                    mContext.onControlThread(
                            mContext.commandLog().recordCompletion(mEngine.name(), ended),
                            version -> next.accept(ended),
                            this::fail);
                },
                this::fail);
    }

    private void readEngineState() {
        if (failIfStopped()) {
            return;
        }
        mContext.onControlThread(
                mContext.sender().readState(mEngine.address()),
                this::handleEngineState,
                failure ->
                        mContext.scheduler()
                                .schedule(STATE_READ_RETRY_DELAY, this::readEngineState));
    }

    private void handleEngineState(EngineStateResponse state) {
        if (mRequested.isEmpty()) {
            if (state.checksFencing()) {
                fence();
            } else {
                finish(Optional.empty());
            }
            return;
        }
        if (state.checksFencing()) {
            recordIntent(mRequested.get());
            return;
        }
        Optional<Duration> wait = mContext.takeoverRule().waitBeforeCommand(mExecutionState);
        if (wait.isEmpty()) {
            fail(
                    SesamedeckException.of(
                            ResultCode.UNAVAILABLE,
                            "engine "
                                    + mEngine.name()
                                    + " ignores fencing numbers and may still get commands from "
                                    + mContext.commandLog().lease().unsettled()));
        } else if (wait.get().isZero()) {
            recordIntent(mRequested.get());
        } else {
            mContext.scheduler().schedule(wait.get(), this::readEngineState);
        }
    }

    private void fence() {
        long number = mContext.commandLog().lease().fencingNumber();
        EngineCommand fence =
                new EngineCommand("fence-" + number, number, CommandKind.FENCE, Map.of());
        mContext.onControlThread(
                CommandDelivery.start(mContext, mEngine, mExecutionState, fence, mDeadlineNanos),
                state -> finish(Optional.empty()),
                this::fail);
    }

    private void recordIntent(CommandRecord requested) {
        if (failIfStopped()) {
            return;
        }
        mContext.onControlThread(
                mContext.commandLog()
                        .recordIntent(
                                mEngine.name(),
                                requested.id(),
                                requested.kind(),
                                requested.arguments()),
                version ->
                        deliver(
                                mContext.commandLog().lastCommand(mEngine.name()).orElseThrow(),
                                ended -> finish(Optional.of(ended))),
                this::fail);
    }

    /**
     * Fails the run if the lease has ended, the executor is stopping or the deadline has passed.
     *
     * @return whether the run failed
     */
    private boolean failIfStopped() {
        if (!mContext.commandLog().lease().isHeld()) {
            fail(
                    SesamedeckException.of(
                            ResultCode.LEASE_LOST,
                            "lease of the group of engine " + mEngine.name() + " has ended"));
            return true;
        }
        if (mContext.isClosing().getAsBoolean()) {
            fail(
                    SesamedeckException.of(
                            ResultCode.STOPPING,
                            "executor is stopping; the command was not recorded"));
            return true;
        }
        if (mContext.clock().nanoTime() - mDeadlineNanos >= 0) {
            fail(
                    SesamedeckException.of(
                            ResultCode.PEER_TIMEOUT,
                            "engine " + mEngine.name() + " could not be contacted in time"));
            return true;
        }
        return false;
    }

    private void finish(Optional<CommandRecord> record) {
        mExecutionState.setRecovered();
        mExecutionState.setBusy(false);
        mResult.complete(record);
    }

    private void fail(SesamedeckException failure) {
        mExecutionState.setBusy(false);
        mResult.completeExceptionally(failure);
    }
}
