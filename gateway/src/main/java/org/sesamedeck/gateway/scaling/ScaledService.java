package org.sesamedeck.gateway.scaling;

import java.time.Duration;
import java.util.ArrayList;
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
    private final Map<String, Long> mChangingUntilNanos = new HashMap<>();
    private ScalingTerms mTerms;
    private Duration mTargetLatency;
    private List<EndpointDescription> mEndpoints = List.of();
    private Set<String> mReclaimed = Set.of();
    private ServerCounts mCounts;

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
        Set<String> reclaimed = new HashSet<>();
        for (EndpointDescription endpoint : mEndpoints) {
            if (endpoint.isReclaimable() && endpoint.leavesWithin().isPresent()) {
                reclaimed.add(endpoint.name());
                if (!mReclaimed.contains(endpoint.name())) {
                    mLedger.reclaimed(ServerCounts.poolOf(endpoint));
                }
            }
        }
        mReclaimed = reclaimed;
    }

    void sample(Router router, int processes) {
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
        List<EndpointDescription> engines = roleCandidates();
        int prefill = 0;
        int decode = 0;
        for (EndpointDescription engine : mEndpoints) {
            if (!engine.isLeaving() && engine.role() != EndpointRole.MIXED) {
                boolean isChanging = !engines.contains(engine);
                boolean isPrefill = (engine.role() == EndpointRole.PREFILL) != isChanging;
                prefill += isPrefill ? 1 : 0;
                decode += isPrefill ? 0 : 1;
            }
        }
        return RolePlan.neededRole(need(), prefill, decode);
    }

    /** Returns the engines whose role is not about to change. */
    List<EndpointDescription> roleCandidates() {
        long now = mClock.nanoTime();
        mChangingUntilNanos.values().removeIf(until -> until - now <= 0);
        List<EndpointDescription> engines = new ArrayList<>(mEndpoints);
        engines.removeIf(engine -> mChangingUntilNanos.containsKey(engine.name()));
        return engines;
    }

    /** Records that the engine that fits best gets a command to change its role. */
    void roleRequested(EndpointRole role) {
        RoleChangeChoice.choose(roleCandidates(), role)
                .ifPresent(
                        engine ->
                                mChangingUntilNanos.put(
                                        engine.name(),
                                        mClock.nanoTime() + ROLE_CHANGE_TIME.toNanos()));
    }
}
