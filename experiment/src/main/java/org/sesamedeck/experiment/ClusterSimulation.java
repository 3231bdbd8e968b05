package org.sesamedeck.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Plan;
import org.sesamedeck.routing.DefaultRolePlanner;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.EngineSnapshot;
import org.sesamedeck.routing.FleetSnapshot;
import org.sesamedeck.routing.LoadReport;
import org.sesamedeck.routing.RoleChange;
import org.sesamedeck.routing.RolePlanner;
import org.sesamedeck.routing.RolePlannerSettings;
import org.sesamedeck.routing.UsageSnapshot;

/**
 * Simulates a trace on a cluster of entry processes and engines, together with the endpoint table,
 * the exchange of usage totals and the role planning that control processes do.
 */
final class ClusterSimulation {
    private static final double ENDPOINT_TABLE_DELAY_SECONDS = 0.2;
    private static final double USAGE_TOTALS_DELAY_SECONDS = 0.3;
    private static final double LOAD_POLL_INTERVAL_SECONDS = 5;
    private static final double DRAIN_TIMEOUT_SECONDS = 5;
    private static final double DRAIN_POLL_INTERVAL_SECONDS = 0.1;
    private static final double ROLE_CHANGE_SECONDS = 4;
    private static final double CRASH_DETECTION_SECONDS = 5;
    private static final double POST_TRACE_SECONDS = 60;

    private final Trace mTrace;
    private final EventQueue mEvents = new EventQueue();
    private final RunMetrics mMetrics;
    private final Optional<RolePlanner> mPlanner;
    private final List<SimulatedEngine> mEngines = new ArrayList<>();
    private final Map<String, SimulatedEngine> mEnginesByName = new HashMap<>();
    private final List<SimulatedEntry> mEntries = new ArrayList<>();
    private final boolean[] mIsChangingRole = new boolean[TraceKind.ENGINES];
    private final boolean[] mIsLeaving = new boolean[TraceKind.ENGINES];
    private final EndpointRole[] mTargetRoles = new EndpointRole[TraceKind.ENGINES];
    private final long[] mRoleStartNanos = new long[TraceKind.ENGINES];
    private final LoadReport[] mReports = new LoadReport[TraceKind.ENGINES];

    /** Prompt tokens that arrived since the last call of {@link #plan}, which runs every second. */
    private long mArrivedPromptTokens;

    /** Expected output tokens of the requests that arrived since the last call of {@link #plan}. */
    private double mExpectedOutputTokens;

    /** Work of those requests in seconds of engine time, by plan. */
    private final Map<String, Double> mDemandByPlan = new TreeMap<>();

    private ClusterSimulation(Trace trace, Policy policy) {
        mTrace = trace;
        mMetrics = new RunMetrics((int) trace.seconds());
        mPlanner =
                switch (policy) {
                    case NAIVE -> Optional.empty();
                    case REACTIVE -> Optional.of(ReactivePlanner.create());
                    default ->
                            Optional.of(
                                    DefaultRolePlanner.create(
                                            mEvents.clock(),
                                            RolePlannerSettings.defaults(
                                                    policy.roleChangeWeight())));
                };
        for (int i = 0; i < TraceKind.ENGINES; i++) {
            EndpointRole role =
                    i < TraceKind.ENGINES / 2 ? EndpointRole.PREFILL : EndpointRole.DECODE;
            SimulatedEngine engine = new SimulatedEngine(mEvents, "engine-" + i, role);
            mEngines.add(engine);
            mEnginesByName.put(engine.name(), engine);
            mTargetRoles[i] = role;
            mReports[i] = engine.report();
        }
        for (int i = 0; i < TraceKind.ENTRIES; i++) {
            SimulatedEntry entry = SimulatedEntry.create(this, policy, i, trace.seed());
            entry.admission().updateConfiguration(trace.workload().configuration());
            entry.admission().updateTotals(new UsageSnapshot(1_000, Map.of()), TraceKind.ENTRIES);
            entry.router().updateProcesses(TraceKind.ENTRIES);
            entry.router().updateEndpoints(endpointTable());
            mEntries.add(entry);
        }
    }

    /** Runs the trace and returns its metrics. */
    static RunMetrics run(Trace trace, Policy policy) {
        ClusterSimulation simulation = new ClusterSimulation(trace, policy);
        simulation.start();
        simulation.mEvents.runUntil((long) ((trace.seconds() + POST_TRACE_SECONDS) * 1e9));
        return simulation.mMetrics;
    }

    EventQueue events() {
        return mEvents;
    }

    Trace trace() {
        return mTrace;
    }

    RunMetrics metrics() {
        return mMetrics;
    }

    SimulatedEngine engine(String name) {
        return mEnginesByName.get(name);
    }

    private void start() {
        scheduleArrival(0);
        mEvents.scheduleEvery(0.01, () -> mEntries.forEach(entry -> entry.admission().advance()));
        mEvents.scheduleEvery(1, this::exchangeUsageTotals);
        mEvents.scheduleEvery(1, this::plan);
        for (int i = 0; i < TraceKind.ENTRIES; i++) {
            SimulatedEntry entry = mEntries.get(i);
            mEvents.scheduleAfter(
                    LOAD_POLL_INTERVAL_SECONDS * i / TraceKind.ENTRIES,
                    () ->
                            mEvents.scheduleEvery(
                                    LOAD_POLL_INTERVAL_SECONDS,
                                    () ->
                                            mEngines.forEach(
                                                    engine -> entry.deliverReport(engine.name()))));
        }
        for (EngineCrash crash : mTrace.crashes()) {
            mEvents.scheduleAfter(crash.crashSeconds(), () -> crash(crash.engine()));
            mEvents.scheduleAfter(crash.recoverySeconds(), () -> restart(crash.engine()));
        }
    }

    private void scheduleArrival(int index) {
        if (index < mTrace.requests().size()) {
            TraceRequest request = mTrace.requests().get(index);
            mEvents.scheduleAt(
                    request.arrivalNanos(),
                    () -> {
                        scheduleArrival(index + 1);
                        mArrivedPromptTokens += request.promptTokens();
                        mExpectedOutputTokens += request.requestClass().meanOutputTokens();
                        mDemandByPlan.merge(
                                request.plan().name(), request.workSeconds(), Double::sum);
                        new SimulatedRequest(this, mEntries.get(request.entry()), request).start();
                    });
        }
    }

    private List<EndpointDescription> endpointTable() {
        List<EndpointDescription> endpointTable = new ArrayList<>();
        for (int i = 0; i < TraceKind.ENGINES; i++) {
            SimulatedEngine engine = mEngines.get(i);
            endpointTable.add(
                    new EndpointDescription(
                            engine.name(),
                            HostAddress.of("127.0.0.1", 9_000 + i),
                            Workload.SERVICE,
                            SimulatedEntry.REGION + "-a",
                            SimulatedEntry.REGION,
                            true,
                            mIsLeaving[i],
                            mIsChangingRole[i],
                            engine.role(),
                            Set.of(Workload.MODEL)));
        }
        return endpointTable;
    }

    private void publishEndpointTable() {
        List<EndpointDescription> endpointTable = endpointTable();
        mEvents.scheduleAfter(
                ENDPOINT_TABLE_DELAY_SECONDS,
                () -> mEntries.forEach(entry -> entry.router().updateEndpoints(endpointTable)));
    }

    private void exchangeUsageTotals() {
        Map<String, UsageSnapshot.PlanUsage> totals = new HashMap<>();
        for (SimulatedEntry entry : mEntries) {
            entry.admission()
                    .takeUsage()
                    .plans()
                    .forEach((plan, usage) -> totals.merge(plan, usage, ClusterSimulation::add));
        }
        mEvents.scheduleAfter(
                USAGE_TOTALS_DELAY_SECONDS,
                () ->
                        mEntries.forEach(
                                entry ->
                                        entry.admission()
                                                .updateTotals(
                                                        new UsageSnapshot(1_000, totals),
                                                        TraceKind.ENTRIES)));
    }

    private static UsageSnapshot.PlanUsage add(
            UsageSnapshot.PlanUsage left, UsageSnapshot.PlanUsage right) {
        return new UsageSnapshot.PlanUsage(
                left.usedMicros() + right.usedMicros(),
                left.demandedMicros() + right.demandedMicros(),
                left.inFlight() + right.inFlight(),
                left.requests() + right.requests(),
                left.tokens() + right.tokens());
    }

    /**
     * Records a sample of the fleet and plans a role change. Load reports of the engines reach the
     * planner after the delay of the trace.
     */
    private void plan() {
        recordSample();
        List<EngineSnapshot> engines = new ArrayList<>();
        for (int i = 0; i < TraceKind.ENGINES; i++) {
            LoadReport report = mReports[i];
            engines.add(
                    new EngineSnapshot(
                            mEngines.get(i).name(),
                            mTargetRoles[i],
                            !mIsChangingRole[i] && !mIsLeaving[i],
                            mIsChangingRole[i],
                            true,
                            mRoleStartNanos[i],
                            report.observedAtNanos(),
                            report.queuedPromptTokens(),
                            report.runningRequests()));
            int index = i;
            if (!mEngines.get(i).isDown()) {
                LoadReport next = mEngines.get(i).report();
                mEvents.scheduleAfter(
                        mTrace.reportDelayMillis() / 1e3, () -> mReports[index] = next);
            }
        }
        FleetSnapshot snapshot =
                new FleetSnapshot(
                        Workload.SERVICE,
                        engines,
                        mArrivedPromptTokens,
                        mExpectedOutputTokens,
                        mEvents.nowNanos(),
                        owedEngines(),
                        EngineCostModel.rates());
        mArrivedPromptTokens = 0;
        mExpectedOutputTokens = 0;
        mDemandByPlan.clear();
        if (mEvents.nowNanos() < mTrace.seconds() * 1e9) {
            mPlanner.flatMap(planner -> planner.plan(snapshot)).ifPresent(this::beginRoleChange);
        }
    }

    /**
     * Returns the engine time that the plans are owed according to their shares, in engines; at
     * most their demand of the last second.
     */
    private double owedEngines() {
        double owed = 0;
        double totalShare = 0;
        for (Plan plan : mTrace.workload().plans()) {
            totalShare += plan.share();
        }
        for (Plan plan : mTrace.workload().plans()) {
            owed +=
                    Math.min(
                            mDemandByPlan.getOrDefault(plan.name(), 0.0),
                            plan.share() / totalShare * TraceKind.ENGINES);
        }
        return owed;
    }

    private void beginRoleChange(RoleChange change) {
        int index = mEngines.indexOf(engine(change.engine()));
        mMetrics.roleChangeStarted();
        mIsChangingRole[index] = true;
        mTargetRoles[index] = change.to();
        publishEndpointTable();
        drain(index, mEvents.nowNanos() + (long) (DRAIN_TIMEOUT_SECONDS * 1e9));
    }

    /**
     * Waits until the engine is empty and the entries have applied the endpoint table that marks it
     * as changing. Responses that still run at the given time are migrated together with their KV
     * cache.
     */
    private void drain(int index, long migrateAtNanos) {
        SimulatedEngine engine = mEngines.get(index);
        if (mEvents.nowNanos() >= migrateAtNanos) {
            for (EngineJob job : engine.removeDecodeJobs()) {
                job.request().migrated(job);
            }
        }
        boolean isTablePropagated =
                mEvents.nowNanos()
                        >= migrateAtNanos
                                - (long)
                                        ((DRAIN_TIMEOUT_SECONDS - 2 * ENDPOINT_TABLE_DELAY_SECONDS)
                                                * 1e9);
        if (engine.isEmpty() && isTablePropagated) {
            mEvents.scheduleAfter(ROLE_CHANGE_SECONDS, () -> completeRoleChange(index));
        } else {
            mEvents.scheduleAfter(DRAIN_POLL_INTERVAL_SECONDS, () -> drain(index, migrateAtNanos));
        }
    }

    private void completeRoleChange(int index) {
        mEngines.get(index).setRole(mTargetRoles[index]);
        mIsChangingRole[index] = false;
        mRoleStartNanos[index] = mEvents.nowNanos();
        publishEndpointTable();
    }

    private void crash(int index) {
        for (EngineJob job : mEngines.get(index).crash()) {
            job.request().engineCrashed(job);
        }
        mEvents.scheduleAfter(
                CRASH_DETECTION_SECONDS,
                () -> {
                    mIsLeaving[index] = true;
                    publishEndpointTable();
                });
    }

    private void restart(int index) {
        mEngines.get(index).restart();
        mIsLeaving[index] = false;
        publishEndpointTable();
    }

    private void recordSample() {
        EndpointRole[] roles = new EndpointRole[TraceKind.ENGINES];
        int[] requestsByEngine = new int[TraceKind.ENGINES];
        Map<String, Double> workByPlan = new TreeMap<>();
        boolean isSettled = true;
        for (int i = 0; i < TraceKind.ENGINES; i++) {
            SimulatedEngine engine = mEngines.get(i);
            boolean isUsable = !mIsChangingRole[i] && !engine.isDown();
            isSettled &= isUsable && mEvents.nowNanos() - mRoleStartNanos[i] > 5e9;
            if (isUsable) {
                roles[i] = engine.role();
            }
            requestsByEngine[i] = engine.requests();
            engine.takeWorkByPlan()
                    .forEach((plan, done) -> workByPlan.merge(plan, done, Double::sum));
        }
        double prefillMicros = mArrivedPromptTokens * EngineCostModel.PREFILL_MICROS_PER_TOKEN;
        double decodeMicros = mExpectedOutputTokens * EngineCostModel.DECODE_MICROS_PER_TOKEN;
        mMetrics.addSample(
                new RunMetrics.Sample(
                        roles,
                        prefillMicros + decodeMicros > 0
                                ? prefillMicros / (prefillMicros + decodeMicros)
                                : 0,
                        workByPlan,
                        requestsByEngine,
                        isSettled));
    }
}
