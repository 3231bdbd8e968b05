package org.sesamedeck.gateway.scaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Clock;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.RoleChangeChoice;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.scaling.OrderLedger;
import org.sesamedeck.routing.scaling.RolePlan;
import org.sesamedeck.routing.scaling.ScalingTerms;
import org.sesamedeck.routing.scaling.ServerCounts;
import org.sesamedeck.routing.scaling.ServerNeed;
import org.sesamedeck.routing.scaling.ServerNeedEstimator;
import org.sesamedeck.routing.scaling.ServerPlan;
import org.sesamedeck.routing.scaling.ServerPlanner;
import org.sesamedeck.routing.scaling.ServerPool;

/**
 * What one process knows of a service whose servers can be ordered. Every process measures the load
 * of all, so that a new holder of the duties knows the last seconds. Confined to one thread.
 */
final class ScaledService {
    /** Time for which an engine counts as changing its role after a command to it. */
    private static final Duration ROLE_CHANGE_TIME = Duration.ofSeconds(6);

    private final Clock mClock;
    private final String mName;
    private final OrderLedger mLedger;
    private final ServerNeedEstimator mEstimator;
    private final Map<String, RoleChange> mRoleChanges = new HashMap<>();
    private ScalingTerms mTerms;
    private Duration mTargetLatency;
    private List<EndpointDescription> mEndpoints = List.of();
    private final Set<String> mReclaimed = new HashSet<>();
    private ServerCounts mCounts;

    /** A command to an engine whose effect the endpoint table may not show yet. */
    private record RoleChange(EndpointRole role, long endsAtNanos) {}

    ScaledService(Clock clock, String name, ScalingTerms terms, Duration targetLatency) {
        mClock = clock;
        mName = name;
        mLedger = OrderLedger.create(clock);
        mEstimator = ServerNeedEstimator.create(clock);
        mTerms = terms;
        mTargetLatency = targetLatency;
        mCounts = ServerCounts.of(List.of(), name);
    }

    String name() {
        return mName;
    }

    ScalingTerms terms() {
        return mTerms;
    }

    OrderLedger ledger() {
        return mLedger;
    }

    ServerCounts counts() {
        return mCounts;
    }

    void configure(ScalingTerms terms, Duration targetLatency) {
        mTerms = terms;
        mTargetLatency = targetLatency;
    }

    void updateEndpoints(List<EndpointDescription> endpoints) {
        mEndpoints =
                endpoints.stream().filter(endpoint -> endpoint.service().equals(mName)).toList();
        mCounts = ServerCounts.of(mEndpoints, mName);
        mEstimator.observeServers(mCounts);
        updateReclaimed();
    }

    /**
     * Notices which pools the platform takes away. It takes all reclaimable servers of a domain at
     * once, and not all of them say when they end. A single one that leaves may be replaced; if
     * none stays, orders in their pool have lost their effect, too.
     */
    private void updateReclaimed() {
        Set<String> leaving = new HashSet<>();
        for (EndpointDescription endpoint : mEndpoints) {
            if (!endpoint.isReclaimable() || !endpoint.isLeaving()) {
                continue;
            }
            leaving.add(endpoint.name());
            ServerPool pool = ServerCounts.poolOf(endpoint);
            boolean isTakenAway = endpoint.leavesWithin().isPresent() || mCounts.in(pool) == 0;
            if (isTakenAway && !mReclaimed.contains(endpoint.name())) {
                mReclaimed.add(endpoint.name());
                mLedger.reclaimed(pool);
            }
        }
        mReclaimed.retainAll(leaving);
    }

    /**
     * Measures the load.
     *
     * @param processes number of registered processes
     * @param heardProcesses number of processes whose load is known
     */
    void sample(Router router, int processes, int heardProcesses) {
        mEstimator.observeProcesses(heardProcesses);
        router.phaseLoad(mName, processes, mCounts::of)
                .ifPresent(load -> mEstimator.observeLoad(load, mTerms, mCounts, mTargetLatency));
    }

    ServerNeed need() {
        return mEstimator.need(mTerms);
    }

    /** Returns whether the servers have been seen for long enough to plan for them. */
    boolean isKnown() {
        mEstimator.observeServers(mCounts);
        return mEstimator.isKnown();
    }

    ServerPlan plan() {
        return ServerPlanner.plan(mTerms, mLedger, need(), mCounts);
    }

    /** Returns the role of which one more engine is needed, if any. */
    Optional<EndpointRole> neededRole() {
        forgetEndedChanges();
        Map<EndpointRole, Integer> engines = new EnumMap<>(EndpointRole.class);
        for (EndpointDescription engine : mEndpoints) {
            if (!engine.isLeaving()) {
                RoleChange change = mRoleChanges.get(engine.name());
                engines.merge(change == null ? engine.role() : change.role(), 1, Integer::sum);
            }
        }
        return RolePlan.neededRole(
                need(),
                engines.getOrDefault(EndpointRole.PREFILL, 0),
                engines.getOrDefault(EndpointRole.DECODE, 0));
    }

    private void forgetEndedChanges() {
        long now = mClock.nanoTime();
        mRoleChanges.values().removeIf(change -> change.endsAtNanos() - now <= 0);
    }

    /** Returns the engines whose role is not about to change and that accept work. */
    List<EndpointDescription> roleCandidates(Router router) {
        forgetEndedChanges();
        List<EndpointDescription> engines = new ArrayList<>(mEndpoints);
        engines.removeIf(engine -> mRoleChanges.containsKey(engine.name()));
        engines.replaceAll(engine -> router.accepts(engine) ? engine : engine.asLeaving());
        return engines;
    }

    /** Records that the engine that fits best gets a command to change its role. */
    void roleRequested(Router router, EndpointRole role) {
        long endsAtNanos = mClock.nanoTime() + ROLE_CHANGE_TIME.toNanos();
        RoleChangeChoice.choose(roleCandidates(router), role)
                .ifPresent(
                        engine ->
                                mRoleChanges.put(engine.name(), new RoleChange(role, endsAtNanos)));
    }
}
