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
 * One engine group. While this node holds the group's lease, it completes what a former holder left
 * open, polls the engines, spreads their states and executes the role changes that the deciding
 * process plans. Confined to the control thread.
 */
public final class EngineGroup {
    private static final System.Logger LOGGER = System.getLogger(EngineGroup.class.getName());
    private static final long POLL_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final int mGroup;
    private final int mGroups;
    private final Clock mClock;
    private final ControlScheduler mScheduler;
    private final CoordinationNode mNode;
    private final EngineClient mClient;
    private final CommandExecutorFactory mExecutors;
    private final LeaseCandidate mCandidate;
    private final Map<String, Seen> mReports = new TreeMap<>();
    private final Set<String> mChanging = new HashSet<>();
    private final NavigableMap<Long, Long> mPollTimes = new TreeMap<>();
    private final Map<String, EngineState> mStates = new HashMap<>();
    private Optional<Lease> mLease = Optional.empty();
    private Optional<CommandExecutor> mExecutor = Optional.empty();
    private List<EngineTarget> mRecovered = List.of();
    private EngineGroupDocument mPublished;
    private long mCounter;
    private long mNextPoll;
    private long mPoll;

    /** A report and the time at which it was requested. */
    private record Seen(EngineReport report, long atNanos) {}

    private EngineGroup(
            int group,
            int groups,
            Clock clock,
            ControlScheduler scheduler,
            LeaseManager leases,
            CoordinationNode node,
            EngineClient client,
            CommandExecutorFactory executors) {
        mGroup = group;
        mGroups = groups;
        mClock = clock;
        mScheduler = scheduler;
        mNode = node;
        mClient = client;
        mExecutors = executors;
        mCandidate =
                LeaseCandidate.create(
                        clock,
                        leases,
                        node,
                        EngineGroupKeys.key(group),
                        this::onAcquired,
                        this::onEnded,
                        this::release);
    }

    /** The parts that all groups of a process share. */
    public record Context(
            Clock clock,
            ControlScheduler scheduler,
            LeaseManager leases,
            CoordinationNode node,
            EngineClient client,
            CommandExecutorFactory executors) {}

    /** Returns a group that this node does not hold yet. */
    public static EngineGroup create(int group, int groups, Context context) {
        return new EngineGroup(
                group,
                groups,
                context.clock(),
                context.scheduler(),
                context.leases(),
                context.node(),
                context.client(),
                context.executors());
    }

    /** Returns whether this node holds the lease of the group. */
    public boolean isHolder() {
        return mCandidate.isHolder();
    }

    /** Returns the object of the lease. */
    public ObjectKey key() {
        return mCandidate.key();
    }

    /** Starts whatever is due. */
    public void tick() {
        mCandidate.tick();
        if (mLease.filter(Lease::isHeld).isEmpty()) {
            return;
        }
        long now = mClock.nanoTime();
        if (now >= mNextPoll) {
            mNextPoll = now + POLL_INTERVAL_NANOS;
            recoverJoined();
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
                .filter(host -> EngineGroupKeys.groupOf(host.name(), mGroups) == mGroup)
                .toList();
    }

    private static EngineTarget target(HostEntry engine) {
        return new EngineTarget(engine.name(), engine.address());
    }

    private void onAcquired(Lease lease) {
        mLease = Optional.of(lease);
        mExecutor = Optional.of(mExecutors.create(lease));
        mRecovered = List.of();
        mPublished = null;
        mCounter = 0;
        mNextPoll = mClock.nanoTime();
        mPoll = 0;
        mPollTimes.clear();
        mChanging.clear();
        // What the former holder saw stays valid until the engine answers this one.
        mNode.dissemination()
                .get(EngineGroupDocument.keyOf(mGroup))
                .ifPresent(
                        document ->
                                EngineGroupDocument.parse(document)
                                        .engines()
                                        .forEach(engine -> mStates.put(engine.name(), engine)));
    }

    private void onEnded() {
        mLease = Optional.empty();
        mExecutor = Optional.empty();
        mReports.clear();
        mStates.clear();
    }

    private CompletableFuture<Void> release() {
        return mExecutor
                .map(CommandExecutor::release)
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    private void recoverJoined() {
        List<EngineTarget> targets = engines().stream().map(EngineGroup::target).toList();
        if (!targets.equals(mRecovered)) {
            mRecovered = targets;
            mExecutor.ifPresent(executor -> executor.recover(targets));
        }
    }

    private void poll() {
        Lease lease = mLease.orElseThrow();
        List<HostEntry> engines = engines();
        long now = mClock.nanoTime();
        mPoll++;
        mPollTimes.put(mPoll, now);
        mPollTimes.values().removeIf(at -> now - at > ServicePlan.VALIDITY.toNanos());
        mStates.keySet()
                .retainAll(engines.stream().map(HostEntry::name).collect(Collectors.toSet()));
        mReports.keySet().retainAll(mStates.keySet());
        for (HostEntry engine : engines) {
            mClient.poll(engine)
                    .whenCompleteAsync(
                            (report, failure) -> {
                                if (mLease.filter(held -> held == lease).isEmpty()) {
                                    return;
                                }
                                if (failure == null) {
                                    mReports.put(engine.name(), new Seen(report, now));
                                    mStates.put(engine.name(), report.state());
                                } else {
                                    mReports.remove(engine.name());
                                }
                                publish(lease);
                            },
                            mScheduler);
        }
        publish(lease);
    }

    private void publish(Lease lease) {
        EngineGroupDocument document = new EngineGroupDocument(List.copyOf(mStates.values()));
        if (document.equals(mPublished) || !lease.isHeld()) {
            return;
        }
        mPublished = document;
        mCounter++;
        mNode.dissemination()
                .publish(
                        document.toDocument(
                                mGroup,
                                EngineGroupDocument.version(lease.fencingNumber(), mCounter)));
    }

    /** Returns the fencing number of the lease while it is held. */
    OptionalLong fencingNumber() {
        return mLease.filter(Lease::isHeld)
                .map(lease -> OptionalLong.of(lease.fencingNumber()))
                .orElseGet(OptionalLong::empty);
    }

    /** Returns what the process that plans roles needs, while the lease is held. */
    Optional<GroupReport> report() {
        return mLease.filter(Lease::isHeld).map(this::report);
    }

    private GroupReport report(Lease lease) {
        long now = mClock.nanoTime();
        CommandLog log = mExecutor.orElseThrow().log();
        List<GroupReport.Engine> engines = new ArrayList<>();
        mReports.forEach(
                (name, seen) ->
                        // Without its load, the age of what an engine does is not known.
                        seen.report()
                                .load()
                                .ifPresent(
                                        load -> engines.add(engine(name, seen, load, log, now))));
        return new GroupReport(mGroup, lease.fencingNumber(), mPoll, engines);
    }

    private GroupReport.Engine engine(
            String name, Seen seen, LoadReport load, CommandLog log, long now) {
        EngineState state = seen.report().state();
        CommandRecord last = log.engines().get(name);
        boolean isOpen = last != null && last.state() == CommandState.OPEN;
        EndpointRole role =
                isOpen && last.kind() == CommandKind.SET_ROLE
                        ? EndpointRole.valueOf(
                                last.arguments().get("role").toUpperCase(Locale.ROOT))
                        : state.role();
        return new GroupReport.Engine(
                new EngineState(
                        name,
                        role,
                        state.models(),
                        state.isDraining(),
                        state.isChanging() || isOpen || mChanging.contains(name)),
                !log.roles().getOrDefault(name, List.of()).isEmpty(),
                load.queuedPromptTokens(),
                load.runningRequests(),
                now - Math.min(seen.atNanos(), load.observedAtNanos()));
    }

    /** Begins a planned change, unless the plan is too old or the engine is not as planned for. */
    void onPlan(RolePlan plan) {
        OptionalLong fencing = fencingNumber();
        if (fencing.isEmpty() || fencing.getAsLong() != plan.fencingNumber()) {
            return;
        }
        Long polledAt = mPollTimes.get(plan.poll());
        boolean isValid =
                polledAt != null && mClock.nanoTime() - polledAt <= ServicePlan.VALIDITY.toNanos();
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
                    "ignoring a role plan that is no longer valid: {0}",
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
        mChanging.add(engine.name());
        mExecutor
                .orElseThrow()
                .execute(target(engine), CommandKind.SET_ROLE, Map.of("role", role), plan.cause())
                .whenComplete(
                        (record, failure) -> {
                            if (mLease.filter(held -> held == lease).isPresent()) {
                                mChanging.remove(engine.name());
                            }
                            LOGGER.log(
                                    System.Logger.Level.INFO,
                                    "role of {0} to {1} ({2}): {3}",
                                    engine.name(),
                                    role,
                                    plan.cause(),
                                    failure == null
                                            ? record.state()
                                            : SesamedeckException.from(failure).code());
                        });
    }
}
