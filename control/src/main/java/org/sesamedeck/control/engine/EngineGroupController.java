package org.sesamedeck.control.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.sesamedeck.control.LeaseCandidate;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.endpoint.command.CommandExecutor;
import org.sesamedeck.endpoint.command.CommandKind;
import org.sesamedeck.endpoint.command.CommandLog;
import org.sesamedeck.endpoint.command.CommandRecord;
import org.sesamedeck.endpoint.command.CommandState;
import org.sesamedeck.endpoint.command.EngineGroupKeys;
import org.sesamedeck.endpoint.command.EngineTarget;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.lease.LeaseManager;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.LoadReport;

/**
 * Controls one engine group. While this node holds the lease of the group, it completes the
 * commands that a former holder left open, polls the engines, disseminates their states and
 * executes the role changes that the planning process plans. Confined to the control thread.
 */
public final class EngineGroupController {
    private static final System.Logger LOGGER =
            System.getLogger(EngineGroupController.class.getName());
    private static final long POLL_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final int mGroupNumber;
    private final int mGroupCount;
    private final Clock mClock;
    private final ControlScheduler mScheduler;
    private final CoordinationNode mNode;
    private final EngineClient mClient;
    private final CommandExecutorFactory mExecutorFactory;
    private final LeaseCandidate mCandidate;
    private final Map<String, PolledEngine> mPolledEngines = new TreeMap<>();
    private final Set<String> mEnginesInCommand = new HashSet<>();
    private final NavigableMap<Long, Long> mPollTimes = new TreeMap<>();
    private final Map<String, EngineState> mStates = new HashMap<>();
    private Optional<Lease> mLease = Optional.empty();
    private Optional<CommandExecutor> mExecutor = Optional.empty();
    private List<EngineTarget> mRecoveryTargets = List.of();
    private EngineGroupDocument mPublishedDocument;
    private long mPublishedCount;
    private long mNextPollNanos;
    private long mPollNumber;

    /** A poll result and the time at which it was requested. */
    private record PolledEngine(EnginePollResult result, long requestedAtNanos) {}

    private EngineGroupController(
            int group,
            int groupCount,
            Clock clock,
            ControlScheduler scheduler,
            LeaseManager leaseManager,
            CoordinationNode node,
            EngineClient client,
            CommandExecutorFactory executorFactory) {
        mGroupNumber = group;
        mGroupCount = groupCount;
        mClock = clock;
        mScheduler = scheduler;
        mNode = node;
        mClient = client;
        mExecutorFactory = executorFactory;
        mCandidate =
                LeaseCandidate.create(
                        clock,
                        leaseManager,
                        node,
                        EngineGroupKeys.key(group),
                        this::onAcquired,
                        this::onEnded,
                        this::release);
    }

    /** The dependencies that all groups of a process share. */
    public record Context(
            Clock clock,
            ControlScheduler scheduler,
            LeaseManager leaseManager,
            CoordinationNode node,
            EngineClient client,
            CommandExecutorFactory executorFactory) {}

    /** Returns the controller of a group whose lease this node does not hold yet. */
    public static EngineGroupController create(int group, int groupCount, Context context) {
        return new EngineGroupController(
                group,
                groupCount,
                context.clock(),
                context.scheduler(),
                context.leaseManager(),
                context.node(),
                context.client(),
                context.executorFactory());
    }

    /** Returns whether this node holds the lease of the group. */
    public boolean isHolder() {
        return mCandidate.isHolder();
    }

    /** Returns the key of the object that stores the lease. */
    public ObjectKey key() {
        return mCandidate.key();
    }

    /** Updates the candidacy and polls the engines when due. */
    public void tick() {
        mCandidate.tick();
        if (mLease.filter(Lease::isHeld).isEmpty()) {
            return;
        }
        long now = mClock.nanoTime();
        if (now >= mNextPollNanos) {
            mNextPollNanos = now + POLL_INTERVAL_NANOS;
            recoverWhenEnginesChange();
            poll();
        }
    }

    /** Ends the candidacy and releases the lease. */
    public CompletableFuture<Void> stop() {
        return mCandidate.stop();
    }

    private List<HostEntry> engines() {
        return mNode.hosts().hosts().stream()
                .filter(host -> host.kind() == HostKind.ENGINE)
                .filter(host -> EngineGroupKeys.groupOf(host.name(), mGroupCount) == mGroupNumber)
                .toList();
    }

    private static EngineTarget target(HostEntry engine) {
        return new EngineTarget(engine.name(), engine.address());
    }

    private void onAcquired(Lease lease) {
        mLease = Optional.of(lease);
        mExecutor = Optional.of(mExecutorFactory.create(lease));
        mRecoveryTargets = List.of();
        mPublishedDocument = null;
        mPublishedCount = 0;
        mNextPollNanos = mClock.nanoTime();
        mPollNumber = 0;
        mPollTimes.clear();
        mEnginesInCommand.clear();
        // Until the engines respond, the states that the former holder published are used.
        mNode.dissemination()
                .get(EngineGroupDocument.keyOf(mGroupNumber))
                .ifPresent(
                        document ->
                                EngineGroupDocument.parse(document)
                                        .engines()
                                        .forEach(engine -> mStates.put(engine.name(), engine)));
    }

    private void onEnded() {
        mLease = Optional.empty();
        mExecutor = Optional.empty();
        mPolledEngines.clear();
        mStates.clear();
    }

    private CompletableFuture<Void> release() {
        return mExecutor
                .map(CommandExecutor::release)
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    private void recoverWhenEnginesChange() {
        List<EngineTarget> targets = engines().stream().map(EngineGroupController::target).toList();
        if (!targets.equals(mRecoveryTargets)) {
            mRecoveryTargets = targets;
            mExecutor.ifPresent(executor -> executor.recover(targets));
        }
    }

    private void poll() {
        Lease lease = mLease.orElseThrow();
        List<HostEntry> engines = engines();
        long now = mClock.nanoTime();
        mPollNumber++;
        mPollTimes.put(mPollNumber, now);
        mPollTimes.values().removeIf(at -> now - at > ServicePlanningState.PLAN_VALIDITY.toNanos());
        mStates.keySet()
                .retainAll(engines.stream().map(HostEntry::name).collect(Collectors.toSet()));
        mPolledEngines.keySet().retainAll(mStates.keySet());
        for (HostEntry engine : engines) {
            mClient.poll(engine)
                    .whenCompleteAsync(
                            (result, failure) -> {
                                if (mLease.filter(held -> held == lease).isEmpty()) {
                                    return;
                                }
                                if (failure == null) {
                                    mPolledEngines.put(
                                            engine.name(), new PolledEngine(result, now));
                                    mStates.put(engine.name(), result.state());
                                } else {
                                    mPolledEngines.remove(engine.name());
                                }
                                publish(lease);
                            },
                            mScheduler);
        }
        publish(lease);
    }

    private void publish(Lease lease) {
        EngineGroupDocument document = new EngineGroupDocument(List.copyOf(mStates.values()));
        if (document.equals(mPublishedDocument) || !lease.isHeld()) {
            return;
        }
        mPublishedDocument = document;
        mPublishedCount++;
        mNode.dissemination()
                .publish(
                        document.toDocument(
                                mGroupNumber,
                                EngineGroupDocument.version(
                                        lease.fencingNumber(), mPublishedCount)));
    }

    /** Returns the fencing number of the lease while it is held. */
    OptionalLong fencingNumber() {
        return mLease.filter(Lease::isHeld)
                .map(lease -> OptionalLong.of(lease.fencingNumber()))
                .orElseGet(OptionalLong::empty);
    }

    /** Returns the report for planning processes, while the lease is held. */
    Optional<GroupReport> report() {
        return mLease.filter(Lease::isHeld).map(this::report);
    }

    private GroupReport report(Lease lease) {
        long now = mClock.nanoTime();
        CommandLog log = mExecutor.orElseThrow().log();
        List<GroupReport.Engine> engines = new ArrayList<>();
        mPolledEngines.forEach(
                (name, polled) ->
                        // Without the load, the age of the observation is unknown.
                        polled.result()
                                .load()
                                .ifPresent(
                                        load ->
                                                engines.add(
                                                        engineReport(
                                                                name, polled, load, log, now))));
        return new GroupReport(mGroupNumber, lease.fencingNumber(), mPollNumber, engines);
    }

    private GroupReport.Engine engineReport(
            String name, PolledEngine polled, LoadReport load, CommandLog log, long now) {
        EngineState state = polled.result().state();
        CommandRecord lastCommand = log.engines().get(name);
        boolean isCommandOpen = lastCommand != null && lastCommand.state() == CommandState.OPEN;
        EndpointRole role =
                isCommandOpen && lastCommand.kind() == CommandKind.SET_ROLE
                        ? EndpointRole.valueOf(
                                lastCommand.arguments().get("role").toUpperCase(Locale.ROOT))
                        : state.role();
        return new GroupReport.Engine(
                new EngineState(
                        name,
                        role,
                        state.models(),
                        state.isDraining(),
                        state.isChanging() || isCommandOpen || mEnginesInCommand.contains(name)),
                !log.roles().getOrDefault(name, List.of()).isEmpty(),
                load.queuedPromptTokens(),
                load.runningRequests(),
                now - Math.min(polled.requestedAtNanos(), load.observedAtNanos()));
    }

    /**
     * Executes a plan. Ignores it when it was made for another lease or has expired, or when the
     * engine is not in the state that the plan assumes.
     */
    void onPlan(RolePlan plan) {
        OptionalLong fencingNumber = fencingNumber();
        if (fencingNumber.isEmpty() || fencingNumber.getAsLong() != plan.fencingNumber()) {
            return;
        }
        Long polledAt = mPollTimes.get(plan.poll());
        boolean isValid =
                polledAt != null
                        && mClock.nanoTime() - polledAt
                                <= ServicePlanningState.PLAN_VALIDITY.toNanos();
        boolean isAsPlanned =
                report().stream()
                        .flatMap(report -> report.engines().stream())
                        .map(GroupReport.Engine::state)
                        .anyMatch(
                                state ->
                                        state.name().equals(plan.engine())
                                                && state.role() == plan.from()
                                                && !state.isChanging()
                                                && !state.isDraining());
        if (!isValid || !isAsPlanned) {
            LOGGER.log(
                    System.Logger.Level.INFO,
                    "ignoring a role plan that has expired or does not match the engine state: {0}",
                    plan);
            return;
        }
        engines().stream()
                .filter(engine -> engine.name().equals(plan.engine()))
                .findFirst()
                .ifPresent(engine -> execute(engine, plan));
    }

    private void execute(HostEntry engine, RolePlan plan) {
        String role = plan.to().name().toLowerCase(Locale.ROOT);
        Lease lease = mLease.orElseThrow();
        mEnginesInCommand.add(engine.name());
        mExecutor
                .orElseThrow()
                .execute(target(engine), CommandKind.SET_ROLE, Map.of("role", role), plan.cause())
                .whenComplete(
                        (record, failure) -> {
                            if (mLease.filter(held -> held == lease).isPresent()) {
                                mEnginesInCommand.remove(engine.name());
                            }
                            LOGGER.log(
                                    System.Logger.Level.INFO,
                                    "command to change the role of {0} to {1} ({2}) ended: {3}",
                                    engine.name(),
                                    role,
                                    plan.cause(),
                                    failure == null
                                            ? record.state()
                                            : SesamedeckException.from(failure).code());
                        });
    }
}
