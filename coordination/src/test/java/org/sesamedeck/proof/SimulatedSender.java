package org.sesamedeck.proof;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.endpoint.command.CommandReply;
import org.sesamedeck.endpoint.command.EngineCommand;
import org.sesamedeck.endpoint.command.EngineCommandSender;
import org.sesamedeck.endpoint.command.EngineConnection;
import org.sesamedeck.endpoint.command.EngineStateResponse;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.platform.SimulatedProcess;

/** Connects one process to the simulated engines, and injects faults into its calls. */
final class SimulatedSender implements EngineCommandSender {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    private final ManualScheduler mScheduler;
    private final SimulatedProcess mProcess;
    private final Map<HostAddress, SimulatedEngine> mEngines;
    private long mHolderNumber;
    private Duration mOpenPause = Duration.ZERO;
    private Duration mSendPause = Duration.ZERO;
    private Duration mNetworkDelay = Duration.ZERO;
    private boolean mIsNextResponseLost;
    private boolean mIsPartitioned;

    private SimulatedSender(
            ManualScheduler scheduler,
            SimulatedProcess process,
            Map<HostAddress, SimulatedEngine> engines) {
        mScheduler = scheduler;
        mProcess = process;
        mEngines = engines;
    }

    static SimulatedSender create(
            ManualScheduler scheduler,
            SimulatedProcess process,
            Map<HostAddress, SimulatedEngine> engines) {
        return new SimulatedSender(scheduler, process, engines);
    }

    /** Sets the number of this process as a holder, in the order of acquisition. */
    void setHolderNumber(long holderNumber) {
        mHolderNumber = holderNumber;
    }

    long holderNumber() {
        return mHolderNumber;
    }

    /** Pauses the process after the next lease check, before anything is sent. */
    void pauseBeforeNextSend(Duration duration) {
        mSendPause = duration;
    }

    /** Pauses the process before the next connection is opened. */
    void pauseBeforeNextOpen(Duration duration) {
        mOpenPause = duration;
    }

    /** Delays the arrival of the next command without pausing the process. */
    void delayNextSend(Duration duration) {
        mNetworkDelay = duration;
    }

    /** Starts or ends a network partition between this process and all engines. */
    void setPartitioned(boolean isPartitioned) {
        mIsPartitioned = isPartitioned;
    }

    void loseNextResponse() {
        mIsNextResponseLost = true;
    }

    @Override
    public CompletableFuture<EngineConnection> open(HostAddress address) {
        CompletableFuture<EngineConnection> result = new CompletableFuture<>();
        Duration pauseDuration = mOpenPause;
        mOpenPause = Duration.ZERO;
        if (!pauseDuration.isZero()) {
            mProcess.pause(pauseDuration);
        }
        mScheduler.schedule(
                pauseDuration.plusMillis(1),
                () -> {
                    if (mProcess.isKilled()) {
                        return;
                    }
                    if (mIsPartitioned) {
                        result.completeExceptionally(unreachable());
                        return;
                    }
                    SimulatedEngine engine = mEngines.get(address);
                    long acceptedNanos = mScheduler.clock().nanoTime();
                    result.complete(new SimulatedConnection(engine, acceptedNanos));
                });
        return result;
    }

    @Override
    public CompletableFuture<EngineStateResponse> readState(HostAddress address) {
        CompletableFuture<EngineStateResponse> result = new CompletableFuture<>();
        mScheduler.schedule(
                Duration.ofMillis(2),
                () -> {
                    if (mIsPartitioned) {
                        result.completeExceptionally(unreachable());
                    } else {
                        result.complete(mEngines.get(address).state());
                    }
                });
        return result;
    }

    private static SesamedeckException unreachable() {
        return SesamedeckException.of(ResultCode.UNAVAILABLE, "engine cannot be reached");
    }

    @Override
    public void close() {
        mProcess.kill();
    }

    /** One connection; a command arrives unless the engine has closed the connection. */
    private final class SimulatedConnection implements EngineConnection {
        private final SimulatedEngine mEngine;
        private final long mAcceptedNanos;

        SimulatedConnection(SimulatedEngine engine, long acceptedNanos) {
            mEngine = engine;
            mAcceptedNanos = acceptedNanos;
        }

        @Override
        public CompletableFuture<CommandReply> send(EngineCommand command) {
            CompletableFuture<CommandReply> result = new CompletableFuture<>();
            mEngine.recordFirstSend(command.id());
            Duration pauseDuration = mSendPause;
            Duration delay = mNetworkDelay;
            boolean isResponseLost = mIsNextResponseLost;
            long holderNumber = mHolderNumber;
            mSendPause = Duration.ZERO;
            mNetworkDelay = Duration.ZERO;
            mIsNextResponseLost = false;
            if (!pauseDuration.isZero()) {
                mProcess.pause(pauseDuration);
            }
            mScheduler.schedule(
                    pauseDuration,
                    () -> {
                        if (mProcess.isKilled()) {
                            return;
                        }
                        mScheduler.schedule(
                                delay.plusMillis(1),
                                () -> arrive(command, holderNumber, isResponseLost, result));
                        mScheduler.schedule(RESPONSE_TIMEOUT, () -> fail(result));
                    });
            return result;
        }

        private void arrive(
                EngineCommand command,
                long holderNumber,
                boolean isResponseLost,
                CompletableFuture<CommandReply> result) {
            if (mIsPartitioned || !mEngine.isOpen(mAcceptedNanos)) {
                fail(result);
                return;
            }
            CommandReply reply = mEngine.handleCommand(command, holderNumber);
            if (!isResponseLost) {
                mScheduler.schedule(Duration.ofMillis(1), () -> result.complete(reply));
            }
        }

        private void fail(CompletableFuture<CommandReply> result) {
            result.completeExceptionally(
                    SesamedeckException.of(ResultCode.OUTCOME_UNKNOWN, "no response"));
        }

        @Override
        public void close() {
            // Data already sent still arrives, as with a closed socket.
        }
    }
}
