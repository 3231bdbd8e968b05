package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.platform.StoreFault;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;

class RoleCoordinatorTest {
    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final FakeObjectStore mStore =
            FakeObjectStore.create(mScheduler, mScheduler.clock()).ignoringUnchangedWrites();
    private final List<Command> mCommands = new ArrayList<>();
    private boolean mIsChanging;
    private boolean mIsSilent;
    private Optional<CompletableFuture<EngineCommandClient.EngineStatus>> mStatus =
            Optional.empty();

    /** A command that reached an engine. */
    private record Command(String engine, String holder, long fencingNumber) {}

    private final EngineCommandClient mCommandClient =
            new EngineCommandClient() {
                @Override
                public CompletableFuture<EngineStatus> status(EndpointDescription engine) {
                    return mStatus.orElseGet(
                            () ->
                                    CompletableFuture.completedFuture(
                                            new EngineStatus(EndpointRole.DECODE, mIsChanging, 0)));
                }

                @Override
                public CompletableFuture<CommandResult> setRole(
                        EndpointDescription engine,
                        EndpointRole role,
                        String holder,
                        long fencingNumber,
                        long acceptedCommands) {
                    mCommands.add(new Command(engine.name(), holder, fencingNumber));
                    return mIsSilent
                            ? CompletableFuture.failedFuture(
                                    SesamedeckException.of(
                                            ResultCode.STORE_OUTCOME_UNKNOWN, "no response"))
                            : CompletableFuture.completedFuture(CommandResult.ACCEPTED);
                }
            };

    private RoleCoordinator coordinator(String holder, FakeObjectStore store) {
        return RoleCoordinator.create(
                mScheduler.clock(),
                store,
                mCommandClient,
                new RecordingLog(),
                holder,
                holder.hashCode());
    }

    private static List<EndpointDescription> engines() {
        List<EndpointDescription> engines = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            engines.add(
                    new EndpointDescription(
                            "engine-" + i,
                            HostAddress.of("10.0.0." + (i + 1), 80),
                            "models",
                            "east-a",
                            "east",
                            true,
                            false,
                            false,
                            i == 0 ? EndpointRole.PREFILL : EndpointRole.DECODE,
                            Set.of()));
        }
        return engines;
    }

    private void requestRole(RoleCoordinator coordinator) {
        coordinator.requestRole("models", EndpointRole.PREFILL, engines());
        mScheduler.runDue();
    }

    /** Guards against two processes that send a command for the same reason at the same time. */
    @Test
    void onlyOneOfTwoConcurrentProcessesSendsCommand() {
        mStore.setDelay(Duration.ofMillis(10));
        FakeObjectStore other = mStore.anotherClient();
        other.setDelay(Duration.ofMillis(10));
        coordinator("host-a", mStore).requestRole("models", EndpointRole.PREFILL, engines());
        coordinator("host-b", other).requestRole("models", EndpointRole.PREFILL, engines());
        mScheduler.advance(Duration.ofSeconds(2));
        assertThat(mCommands, hasSize(1));
    }

    /** Guards against a command of a second process while the first may still send its own. */
    @Test
    void otherProcessWaitsForQuietPeriodAfterRecordChange() {
        RoleCoordinator second = coordinator("host-b", mStore.anotherClient());
        requestRole(coordinator("host-a", mStore));
        for (int i = 0; i < 8; i++) {
            requestRole(second);
            mScheduler.advance(Duration.ofSeconds(1));
        }
        assertThat(mCommands, hasSize(1));
        mScheduler.advance(Duration.ofSeconds(2));
        requestRole(second);
        assertThat(mCommands, hasSize(2));
        assertThat(mCommands.get(1).fencingNumber(), greaterThan(mCommands.get(0).fencingNumber()));
    }

    /** Guards against sending a command after a write whose outcome is unknown. */
    @Test
    void writeWithUnknownOutcomeSendsNoCommand() {
        mStore.failNextWrite(StoreFault.LOST_AFTER_EFFECT);
        RoleCoordinator coordinator = coordinator("host-a", mStore);
        requestRole(coordinator);
        mScheduler.advance(Duration.ofSeconds(5));
        requestRole(coordinator);
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(mCommands, empty());
    }

    /** Guards against sending a command long after it was decided. */
    @Test
    void lateAcquisitionSendsNoCommand() {
        coordinator("host-a", mStore).requestRole("models", EndpointRole.PREFILL, engines());
        // The read has completed; the write completes after the maximum acquisition time.
        mStore.setDelay(Duration.ofMillis(1_600));
        mScheduler.advance(Duration.ofSeconds(10));
        assertThat(mStore.bytesWritten() > 0, is(true));
        assertThat(mCommands, empty());
    }

    /** Guards against a limit on the acquisition time that no write can meet. */
    @Test
    void timelyAcquisitionSendsCommand() {
        coordinator("host-a", mStore).requestRole("models", EndpointRole.PREFILL, engines());
        mStore.setDelay(Duration.ofMillis(1_400));
        mScheduler.advance(Duration.ofSeconds(10));
        assertThat(mCommands, hasSize(1));
    }

    /** Guards against interrupting a command that an engine is still executing. */
    @Test
    void engineThatIsChangingGetsNoCommand() {
        mIsChanging = true;
        requestRole(coordinator("host-a", mStore));
        assertThat(mCommands, empty());
    }

    /**
     * Guards against the command of a process that was paused after it had obtained the right:
     * engines that ignore fencing numbers would carry it out after that of another process.
     */
    @Test
    void pausedProcessSendsNoCommand() {
        CompletableFuture<EngineCommandClient.EngineStatus> status = new CompletableFuture<>();
        mStatus = Optional.of(status);
        requestRole(coordinator("host-a", mStore));
        mScheduler.advance(Duration.ofSeconds(10));
        status.complete(new EngineCommandClient.EngineStatus(EndpointRole.DECODE, false, 0));
        mScheduler.runDue();
        assertThat(mCommands, empty());
    }

    /** Guards against one command in nine seconds while new servers bring the wrong roles. */
    @Test
    void processThatWroteLastSendsItsNextCommandSoon() {
        RoleCoordinator coordinator = coordinator("host-a", mStore);
        for (int i = 0; i < 3; i++) {
            requestRole(coordinator);
            mScheduler.advance(Duration.ofSeconds(1));
        }
        assertThat(mCommands, hasSize(3));
        assertThat(mCommands.get(2).fencingNumber(), greaterThan(mCommands.get(1).fencingNumber()));
    }

    /** Guards against commands of two processes in turn when the first one comes back. */
    @Test
    void processThatWroteEarlierWaitsForQuietPeriodOfTheOther() {
        RoleCoordinator first = coordinator("host-a", mStore);
        RoleCoordinator second = coordinator("host-b", mStore.anotherClient());
        requestRole(first);
        requestRole(second);
        mScheduler.advance(Duration.ofSeconds(10));
        requestRole(second);
        assertThat(mCommands, hasSize(2));
        for (int i = 0; i < 8; i++) {
            requestRole(first);
            mScheduler.advance(Duration.ofSeconds(1));
        }
        assertThat(mCommands, hasSize(2));
    }

    /**
     * Guards against two holders that command in turn after a command without a response: the
     * process that repeats it needs a new version, which also keeps the others away.
     */
    @Test
    void repeatedCommandHasNewVersionAndRestartsQuietPeriod() {
        RoleCoordinator first = coordinator("host-a", mStore);
        RoleCoordinator second = coordinator("host-b", mStore.anotherClient());
        mIsSilent = true;
        requestRole(first);
        requestRole(second);
        mScheduler.advance(Duration.ofMillis(9_100));
        requestRole(first);
        mScheduler.advance(Duration.ofMillis(200));
        requestRole(second);
        assertThat(mCommands, hasSize(2));
        assertThat(mCommands.get(1).fencingNumber(), greaterThan(mCommands.get(0).fencingNumber()));
        mScheduler.advance(Duration.ofSeconds(9));
        requestRole(second);
        assertThat(mCommands, hasSize(3));
    }
}
