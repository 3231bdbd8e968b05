package org.sesamedeck.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.google.inject.AbstractModule;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamedeck.control.engine.CommandExecutorFactory;
import org.sesamedeck.control.engine.EngineState;
import org.sesamedeck.control.engine.RolePlanningInput;
import org.sesamedeck.control.engine.ServiceRolePlanner;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.endpoint.command.CommandExecutor;
import org.sesamedeck.endpoint.command.CommandKind;
import org.sesamedeck.endpoint.command.CommandLog;
import org.sesamedeck.endpoint.command.CommandRecord;
import org.sesamedeck.endpoint.command.CommandState;
import org.sesamedeck.endpoint.command.EngineGroupKeys;
import org.sesamedeck.endpoint.command.EngineTarget;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.RoleChange;

@Timeout(90)
class RolePlanCoordinatorTest {
    private static final int GROUPS = 2;
    private static final String SERVICE = "tasting-models";

    private final Clock mClock = SystemClock.create();
    private final BlockingQueue<Proposal> mProposals = new LinkedBlockingQueue<>();
    private final BlockingQueue<Command> mCommands = new LinkedBlockingQueue<>();

    private record Proposal(String node, long atNanos) {}

    private record Command(String node, String lease, String engine, String role, String cause) {}

    /** Records commands and completes them immediately. */
    private final class RecordingExecutor implements CommandExecutor {
        private final String mNode;
        private final Lease mLease;

        RecordingExecutor(String node, Lease lease) {
            mNode = node;
            mLease = lease;
        }

        @Override
        public CompletableFuture<Void> recover(Collection<EngineTarget> engines) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<CommandRecord> execute(
                EngineTarget engine,
                CommandKind kind,
                Map<String, String> arguments,
                String cause) {
            String role = arguments.get("role");
            mCommands.add(new Command(mNode, mLease.key().name(), engine.name(), role, cause));
            return CompletableFuture.completedFuture(
                    new CommandRecord("c", 1, kind, arguments, CommandState.DONE));
        }

        @Override
        public CompletableFuture<Void> removeEngine(String engineName) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> onHostRemoved(String node) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CommandLog log() {
            return CommandLog.empty();
        }

        @Override
        public CompletableFuture<Void> release() {
            return mLease.release();
        }
    }

    private Optional<RoleChange> plan(String node, String engine, RolePlanningInput input) {
        // Plans only after the reports of both groups have arrived.
        if (input.observations().size() < 8) {
            return Optional.empty();
        }
        mProposals.add(new Proposal(node, mClock.nanoTime()));
        return Optional.of(new RoleChange(engine, EndpointRole.MIXED, EndpointRole.PREFILL, 9, 2));
    }

    private AbstractModule bindings(String node, String engine) {
        return new AbstractModule() {
            @Override
            protected void configure() {
                bind(ServiceRolePlanner.class).toInstance(input -> plan(node, engine, input));
                bind(CommandExecutorFactory.class)
                        .toInstance(lease -> new RecordingExecutor(node, lease));
            }
        };
    }

    private static String engineOfGroup(int group) {
        for (int i = 0; ; i++) {
            if (EngineGroupKeys.groupOf("engine-" + i, GROUPS) == group) {
                return "engine-" + i;
            }
        }
    }

    /**
     * Guards against two lease holders that each change a role of the same service, and against a
     * command from a process that does not hold the lease of the engine's group.
     */
    @Test
    void onlyOneProcessPlansAndOnlyTheGroupHolderSendsCommands() throws Exception {
        int planningGroup = EngineGroupKeys.groupOf(SERVICE, GROUPS);
        String engine = engineOfGroup(1 - planningGroup);
        try (TestDeployment deployment = new TestDeployment(3, node -> bindings(node, engine))) {
            for (int i = 0; i < 8; i++) {
                String name = "engine-" + i;
                deployment.addHost(name, HostKind.ENGINE, HostAddress.of("127.0.0.1", 1), false);
                deployment.setEngineState(
                        new EngineState(name, EndpointRole.MIXED, Set.of("m"), false, false));
            }
            Command command = mCommands.poll(60, TimeUnit.SECONDS);
            assertThat("a command was sent", command != null, is(true));
            assertThat(command.engine(), is(engine));
            assertThat(command.role(), is("prefill"));
            assertThat(command.lease(), is(Integer.toString(1 - planningGroup)));
            assertThat(command.cause(), containsString("role planner of " + SERVICE));
            Proposal previous = mProposals.poll(60, TimeUnit.SECONDS);
            assertThat(command.cause(), containsString("at " + previous.node()));
            for (int i = 0; i < 3; i++) {
                Proposal next = mProposals.poll(60, TimeUnit.SECONDS);
                // Another process plans only after the lease has moved to it, and it waits until no
                // plan of the previous one can begin any more.
                boolean isSameOrLater =
                        next.node().equals(previous.node())
                                || next.atNanos() - previous.atNanos() >= 5_000_000_000L;
                assertThat(previous + ", then " + next, isSameOrLater, is(true));
                previous = next;
            }
        }
    }
}
