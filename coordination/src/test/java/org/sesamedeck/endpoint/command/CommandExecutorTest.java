package org.sesamedeck.endpoint.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.lease.DefaultLeaseManager;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.lease.LeaseSettings;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.platform.SimulatedProcess;
import org.sesamedeck.platform.StoreAuditTrail;

/**
 * Tests single steps of the executor; its guarantees under faults are tested in
 * org.sesamedeck.proof.
 */
class CommandExecutorTest {
    private static final EngineTarget ENGINE =
            new EngineTarget("engine-1", HostAddress.of("127.0.0.1", 1));
    private static final Map<String, String> ROLE = Map.of("role", "decode");

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final FakeObjectStore mStore = FakeObjectStore.create(mScheduler, mScheduler.clock());
    private final StubSender mSender = new StubSender();

    private Lease lease(String node, SimulatedProcess process) {
        CompletableFuture<Lease> lease =
                DefaultLeaseManager.create(
                                mStore,
                                process,
                                mScheduler.clock(),
                                LeaseSettings.standard(),
                                node,
                                HostAddress.of("127.0.0.1", 1),
                                "token")
                        .acquire(EngineGroupKeys.key(3), (lost, reason) -> {});
        mScheduler.advance(Duration.ofSeconds(20));
        return lease.join();
    }

    private CommandExecutor executor(
            Lease lease, SimulatedProcess process, UnfencedTakeover takeover) {
        return DefaultCommandExecutor.create(
                lease,
                mSender,
                process,
                mScheduler.clock(),
                CommandSettings.of(takeover, Duration.ofSeconds(2)),
                StoreAuditTrail.create(mStore, process, mScheduler.clock()),
                "node");
    }

    private CommandExecutor executor() {
        SimulatedProcess process = SimulatedProcess.start(mScheduler);
        return executor(lease("node", process), process, UnfencedTakeover.CONNECTION_LIMIT);
    }

    private static ResultCode code(CompletableFuture<?> call) {
        return SesamedeckException.from(assertThrows(RuntimeException.class, call::join)).code();
    }

    /**
     * An engine executes one command at a time, and each one appears in the log and audit trail.
     */
    @Test
    void commandIsRecordedConfirmedAndAudited() {
        CommandExecutor executor = executor();
        CompletableFuture<CommandRecord> command =
                executor.execute(ENGINE, CommandKind.SET_ROLE, ROLE, "planner");
        assertThat(
                code(executor.execute(ENGINE, CommandKind.DRAIN, Map.of(), "operator")),
                is(ResultCode.IN_PROGRESS));
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(command.join().state(), is(CommandState.DONE));
        assertThat(executor.log().roles().get("engine-1"), contains("decode"));
        var audit = mStore.list("audit");
        mScheduler.runDue();
        assertThat(audit.join(), hasSize(1));
    }

    /** The intent must be durable before anything is sent, even while the store is unavailable. */
    @Test
    void nothingIsSentBeforeTheIntentIsDurable() {
        CommandExecutor executor = executor();
        mStore.setUnavailable(true);
        CompletableFuture<CommandRecord> command =
                executor.execute(ENGINE, CommandKind.SET_ROLE, ROLE, "planner");
        mScheduler.advance(Duration.ofSeconds(3));
        assertThat(mSender.sent(), empty());
        mScheduler.advance(Duration.ofSeconds(20));
        assertThat(code(command), is(ResultCode.LEASE_LOST));
        assertThat(mSender.sent(), empty());
    }

    /** A refused command that stayed open would be sent again before each later command. */
    @Test
    void refusedCommandIsRecordedAndReported() {
        CommandExecutor executor = executor();
        mSender.refuseAll();
        CompletableFuture<CommandRecord> command =
                executor.execute(ENGINE, CommandKind.SET_ROLE, ROLE, "planner");
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(code(command), is(ResultCode.INTERNAL_ERROR));
        assertThat(executor.log().engines().get("engine-1").state(), is(CommandState.REFUSED));
    }

    /**
     * With release-only, a former holder that was not released blocks commands, however much time
     * has passed, until its host is removed.
     */
    @Test
    void releaseOnlyWaitsForTheRemovalOfTheFormerHost() {
        SimulatedProcess former = SimulatedProcess.start(mScheduler);
        lease("former", former);
        former.kill();
        SimulatedProcess process = SimulatedProcess.start(mScheduler);
        CommandExecutor executor =
                executor(lease("node", process), process, UnfencedTakeover.RELEASE_ONLY);
        mScheduler.advance(Duration.ofMinutes(10));
        CompletableFuture<CommandRecord> early =
                executor.execute(ENGINE, CommandKind.SET_ROLE, ROLE, "planner");
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(code(early), is(ResultCode.UNAVAILABLE));
        assertThat(mSender.sent(), empty());
        executor.onHostRemoved("former");
        mScheduler.advance(Duration.ofSeconds(1));
        CompletableFuture<CommandRecord> late =
                executor.execute(ENGINE, CommandKind.SET_ROLE, ROLE, "planner");
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(late.join().state(), is(CommandState.DONE));
    }

    /**
     * After a release the successor does not wait, so no command of this process may still be in
     * flight.
     */
    @Test
    void releaseWaitsForAttemptsWithoutResponse() {
        CommandExecutor executor = executor();
        mSender.loseResponses(true);
        executor.execute(ENGINE, CommandKind.SET_ROLE, ROLE, "planner");
        mScheduler.advance(Duration.ofMillis(500));
        CompletableFuture<Void> release = executor.release();
        mScheduler.advance(Duration.ofSeconds(2));
        assertThat(release.isDone(), is(false));
        mScheduler.advance(Duration.ofSeconds(2));
        assertThat(release.isDone(), is(true));
        assertThat(
                code(executor.execute(ENGINE, CommandKind.DRAIN, Map.of(), "x")),
                is(ResultCode.STOPPING));
    }

    /**
     * Sender to an engine that ignores fencing numbers, responds at once and, unless set otherwise,
     * accepts every command.
     */
    private static final class StubSender implements EngineCommandSender, EngineConnection {
        private final List<EngineCommand> mSent = new ArrayList<>();
        private String mLastCommand = "";
        private boolean mRefuses;
        private boolean mLosesResponses;

        List<EngineCommand> sent() {
            return mSent;
        }

        void refuseAll() {
            mRefuses = true;
        }

        void loseResponses(boolean losesResponses) {
            mLosesResponses = losesResponses;
        }

        @Override
        public CompletableFuture<EngineConnection> open(HostAddress engine) {
            return CompletableFuture.completedFuture(this);
        }

        @Override
        public CompletableFuture<EngineStateResponse> readState(HostAddress engine) {
            return CompletableFuture.completedFuture(
                    new EngineStateResponse(
                            "", List.of(), List.of(), "1", "", mLastCommand, 0, false, false));
        }

        @Override
        public CompletableFuture<CommandReply> send(EngineCommand command) {
            mSent.add(command);
            if (mLosesResponses) {
                return CompletableFuture.failedFuture(
                        SesamedeckException.of(ResultCode.OUTCOME_UNKNOWN, "no response"));
            }
            if (mRefuses) {
                return CompletableFuture.completedFuture(CommandReply.REFUSED);
            }
            mLastCommand = command.id();
            return CompletableFuture.completedFuture(CommandReply.ACCEPTED);
        }

        @Override
        public void close() {
            // No connection is open.
        }
    }
}
