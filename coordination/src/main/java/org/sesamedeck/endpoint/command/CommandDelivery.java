package org.sesamedeck.endpoint.command;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Sends one command repeatedly until the engine confirms or refuses it. Each attempt opens its own
 * connection, then checks the lease, then sends the command, in this order.
 */
final class CommandDelivery {
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

    private final CommandContext mContext;
    private final EngineTarget mEngine;
    private final EngineExecutionState mExecutionState;
    private final EngineCommand mCommand;
    private final long mDeadlineNanos;
    private final CompletableFuture<CommandState> mResult = new CompletableFuture<>();
    private Duration mRetryDelay;

    private CommandDelivery(
            CommandContext context,
            EngineTarget engine,
            EngineExecutionState executionState,
            EngineCommand command,
            long deadlineNanos) {
        mContext = context;
        mEngine = engine;
        mExecutionState = executionState;
        mCommand = command;
        mDeadlineNanos = deadlineNanos;
        mRetryDelay = context.settings().confirmationInterval();
    }

    /**
     * Starts sending a command.
     *
     * @param deadlineNanos monotonic time after which the delivery fails with PEER_TIMEOUT
     * @return DONE or REFUSED; fails with LEASE_LOST, STOPPING, STALE_FENCING_NUMBER or
     *     PEER_TIMEOUT, after which the command may still have reached the engine
     */
    static CompletableFuture<CommandState> start(
            CommandContext context,
            EngineTarget engine,
            EngineExecutionState executionState,
            EngineCommand command,
            long deadlineNanos) {
        CommandDelivery delivery =
                new CommandDelivery(context, engine, executionState, command, deadlineNanos);
        delivery.openAndSend();
        return delivery.mResult;
    }

    private void openAndSend() {
        if (failIfStopped()) {
            return;
        }
        mContext.onControlThread(
                mContext.sender().open(mEngine.address()),
                this::checkAndSend,
                failure -> retry(this::openAndSend));
    }

    private void checkAndSend(EngineConnection connection) {
        // The lease check must follow the opening of the connection; see TakeoverRule.
        if (failIfStopped()) {
            connection.close();
            return;
        }
        long latestArrivalNanos = mContext.takeoverRule().latestArrivalNanos();
        mContext.onControlThread(
                connection.send(mCommand),
                reply -> {
                    connection.close();
                    handleReply(reply);
                },
                failure -> {
                    connection.close();
                    if (failure.code() != ResultCode.UNAVAILABLE) {
                        mExecutionState.addUnconfirmedAttempt(latestArrivalNanos);
                    }
                    retry(this::confirm);
                });
    }

    private void handleReply(CommandReply reply) {
        switch (reply) {
            case ACCEPTED:
            case ALREADY_DONE:
                confirm();
                break;
            case CONFLICT:
                resolveConflict();
                break;
            case REFUSED:
                mResult.complete(CommandState.REFUSED);
                break;
            default:
                throw new IllegalStateException("unexpected reply " + reply);
        }
    }

    /** Reads the state of the engine until it shows that the command is done or lost. */
    private void confirm() {
        if (failIfStopped()) {
            return;
        }
        mContext.onControlThread(
                mContext.sender().readState(mEngine.address()),
                state -> {
                    if (isDone(state)) {
                        mResult.complete(CommandState.DONE);
                    } else if (state.commandInProgress().equals(mCommand.id())) {
                        mContext.scheduler()
                                .schedule(
                                        mContext.settings().confirmationInterval(), this::confirm);
                    } else {
                        // The command did not arrive, or the engine restarted and lost it.
                        retry(this::openAndSend);
                    }
                },
                failure -> retry(this::confirm));
    }

    /** Finds out why the engine rejected the command: it is done, stale or must be retried. */
    private void resolveConflict() {
        mContext.onControlThread(
                mContext.sender().readState(mEngine.address()),
                state -> {
                    if (isDone(state)) {
                        mResult.complete(CommandState.DONE);
                    } else if (state.checksFencing()
                            && state.highestFencingNumber() > mCommand.fencingNumber()) {
                        mResult.completeExceptionally(
                                SesamedeckException.of(
                                        ResultCode.STALE_FENCING_NUMBER,
                                        String.format(
                                                "engine %s has fencing number %d,"
                                                        + " above %d of command %s",
                                                mEngine.name(),
                                                state.highestFencingNumber(),
                                                mCommand.fencingNumber(),
                                                mCommand.id())));
                    } else {
                        retry(this::openAndSend);
                    }
                },
                failure -> retry(this::openAndSend));
    }

    private boolean isDone(EngineStateResponse state) {
        return mCommand.kind() == CommandKind.FENCE
                ? state.highestFencingNumber() >= mCommand.fencingNumber()
                : state.hasCompleted(mCommand.id());
    }

    /**
     * Fails the delivery if the lease has ended, the executor is stopping or the deadline has
     * passed.
     *
     * @return whether the delivery failed
     */
    private boolean failIfStopped() {
        SesamedeckException reason = null;
        if (!mContext.commandLog().lease().isHeld()) {
            reason =
                    SesamedeckException.of(
                            ResultCode.LEASE_LOST,
                            "lease of the group of engine " + mEngine.name() + " has ended");
        } else if (mContext.isClosing().getAsBoolean()) {
            reason =
                    SesamedeckException.of(
                            ResultCode.STOPPING,
                            "executor is stopping; command " + mCommand.id() + " stays open");
        } else if (mContext.clock().nanoTime() - mDeadlineNanos >= 0) {
            reason =
                    SesamedeckException.of(
                            ResultCode.PEER_TIMEOUT,
                            "engine "
                                    + mEngine.name()
                                    + " did not confirm command "
                                    + mCommand.id());
        }
        if (reason != null) {
            mResult.completeExceptionally(reason);
        }
        return reason != null;
    }

    private void retry(Runnable step) {
        Duration delay = mRetryDelay;
        Duration doubled = delay.multipliedBy(2);
        mRetryDelay = doubled.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : doubled;
        mContext.scheduler().schedule(delay, step);
    }
}
