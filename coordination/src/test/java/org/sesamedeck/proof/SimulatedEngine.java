package org.sesamedeck.proof;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.endpoint.command.CommandKind;
import org.sesamedeck.endpoint.command.CommandReply;
import org.sesamedeck.endpoint.command.EngineCommand;
import org.sesamedeck.endpoint.command.EngineStateResponse;
import org.sesamedeck.endpoint.command.EngineTarget;
import org.sesamedeck.platform.ManualScheduler;

/**
 * An engine that either checks or ignores fencing numbers. It records a violation when a command of
 * an earlier holder changes it after a command of a later holder, or when a late copy of an earlier
 * command changes it after a later command. Holders are numbered in the order of acquisition by the
 * simulation, independently of the fencing numbers in the commands.
 */
final class SimulatedEngine {
    /** Time after which an engine that ignores fencing numbers closes a command connection. */
    static final Duration CONNECTION_LIMIT = Duration.ofSeconds(2);

    /** Duration of some commands; the others are done before a late copy of them can arrive. */
    private static final Duration LONG_COMMAND_DURATION = Duration.ofMillis(1500);

    private static final Duration SHORT_COMMAND_DURATION = Duration.ofMillis(20);

    private final ManualScheduler mScheduler;
    private final EngineTarget mTarget;
    private final boolean mChecksFencing;
    private final List<String> mViolations = new ArrayList<>();
    private String mRole = "";
    private String mLastCommandId = "";
    private String mCommandInProgress = "";
    private long mHighestFencingNumber;
    private long mStartedNanos;
    private int mRestarts;
    private long mHighestHolderNumber;
    private final Map<String, Integer> mFirstSendOrder = new HashMap<>();
    private int mLatestAcceptedOrder;

    private SimulatedEngine(ManualScheduler scheduler, int number, boolean checksFencing) {
        mScheduler = scheduler;
        mTarget = new EngineTarget("engine-" + number, HostAddress.of("127.0.0.1", 1000 + number));
        mChecksFencing = checksFencing;
    }

    static SimulatedEngine create(ManualScheduler scheduler, int number, boolean checksFencing) {
        return new SimulatedEngine(scheduler, number, checksFencing);
    }

    EngineTarget target() {
        return mTarget;
    }

    String role() {
        return mRole;
    }

    List<String> violations() {
        return mViolations;
    }

    /** Returns whether the engine still reads from a connection accepted at the given time. */
    boolean isOpen(long acceptedNanos) {
        if (acceptedNanos < mStartedNanos) {
            return false;
        }
        return mChecksFencing
                || mScheduler.clock().nanoTime() - acceptedNanos <= CONNECTION_LIMIT.toNanos();
    }

    EngineStateResponse state() {
        return new EngineStateResponse(
                mRole,
                List.of(),
                List.of(),
                "1",
                mCommandInProgress,
                mLastCommandId,
                mHighestFencingNumber,
                mChecksFencing,
                false);
    }

    /**
     * Restarts the engine: the command in progress, the identifier of the last command, the highest
     * fencing number and all connections are lost; the current role is kept.
     */
    void restart() {
        mRestarts++;
        mStartedNanos = mScheduler.clock().nanoTime();
        mLastCommandId = "";
        mCommandInProgress = "";
        mHighestFencingNumber = 0;
    }

    /** Records the order in which different commands are sent for the first time. */
    void recordFirstSend(String commandId) {
        mFirstSendOrder.putIfAbsent(commandId, mFirstSendOrder.size() + 1);
    }

    CommandReply handleCommand(EngineCommand command, long holderNumber) {
        if (mChecksFencing) {
            if (command.fencingNumber() < mHighestFencingNumber) {
                return CommandReply.CONFLICT;
            }
            mHighestFencingNumber = command.fencingNumber();
        }
        if (command.kind() == CommandKind.FENCE) {
            mHighestHolderNumber = Math.max(mHighestHolderNumber, holderNumber);
            return CommandReply.ALREADY_DONE;
        }
        if (command.id().equals(mLastCommandId)) {
            mHighestHolderNumber = Math.max(mHighestHolderNumber, holderNumber);
            return CommandReply.ALREADY_DONE;
        }
        if (!mCommandInProgress.isEmpty()) {
            return CommandReply.CONFLICT;
        }
        if (holderNumber < mHighestHolderNumber) {
            mViolations.add(
                    String.format(
                            "%s accepted %s of holder %d after one of holder %d",
                            mTarget.name(), command, holderNumber, mHighestHolderNumber));
        }
        mHighestHolderNumber = Math.max(mHighestHolderNumber, holderNumber);
        int order = mFirstSendOrder.get(command.id());
        if (order < mLatestAcceptedOrder) {
            mViolations.add(String.format("%s accepted late %s again", mTarget.name(), command));
        }
        mLatestAcceptedOrder = Math.max(mLatestAcceptedOrder, order);
        mLastCommandId = command.id();
        mCommandInProgress = command.id();
        String role = command.arguments().getOrDefault("role", "");
        int restarts = mRestarts;
        mScheduler.schedule(
                isLongCommand(role) ? LONG_COMMAND_DURATION : SHORT_COMMAND_DURATION,
                () -> {
                    if (mRestarts == restarts) {
                        mRole = role;
                        mCommandInProgress = "";
                    }
                });
        return CommandReply.ACCEPTED;
    }

    private static boolean isLongCommand(String role) {
        // The multiplication scatters the hash codes of consecutive roles, so that several short
        // commands can follow each other.
        return (role.hashCode() * 0x9E3779B1) >>> 30 == 0;
    }
}
