package org.sesamedeck.control.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.Plan;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.EngineRates;
import org.sesamedeck.routing.EngineSnapshot;
import org.sesamedeck.routing.FleetSnapshot;
import org.sesamedeck.wire.generated.PlanUsage;
import org.sesamedeck.wire.generated.ServiceDemand;
import org.sesamedeck.wire.generated.UsageTotals;

/**
 * Builds the snapshots of one service and records since when each engine has had its role. An
 * engine without an observation counts as usable with an outdated report, so that missing reports
 * prevent role changes.
 */
final class FleetSnapshotBuilder {
    /** Longer than any maximum report age or minimum dwell time of a planner. */
    private static final long LONG_AGO_NANOS = Duration.ofHours(1).toNanos();

    private final Clock mClock;
    private final Map<String, RoleSince> mRoleSince = new HashMap<>();

    private record RoleSince(EndpointRole role, long sinceNanos) {}

    private FleetSnapshotBuilder(Clock clock) {
        mClock = clock;
    }

    static FleetSnapshotBuilder create(Clock clock) {
        return new FleetSnapshotBuilder(clock);
    }

    FleetSnapshot build(RolePlanningInput input) {
        long now = mClock.nanoTime();
        mRoleSince
                .keySet()
                .retainAll(
                        input.engines().stream().map(HostEntry::name).collect(Collectors.toSet()));
        List<EngineSnapshot> engines = new ArrayList<>();
        for (HostEntry host : input.engines()) {
            engines.add(engineSnapshot(host, input.observations().get(host.name()), now));
        }
        ServiceDemand demand =
                input.totals().getDemandsList().stream()
                        .filter(each -> each.getService().equals(input.service()))
                        .findFirst()
                        .orElse(ServiceDemand.getDefaultInstance());
        double intervalSeconds = Math.max(1, input.totals().getIntervalMillis()) / 1e3;
        double promptTokensPerSecond = demand.getPromptTokens() / intervalSeconds;
        double outputTokensPerSecond = demand.getOutputTokens() / intervalSeconds;
        EngineRates rates = EngineRates.defaults();
        double demandedEngines =
                promptTokensPerSecond / rates.prefillTokensPerSecond()
                        + outputTokensPerSecond / rates.decodeTokensPerSecond();
        return new FleetSnapshot(
                input.service(),
                engines,
                promptTokensPerSecond,
                outputTokensPerSecond,
                input.totalsAtNanos(),
                Math.min(demandedEngines, owedEngines(input, intervalSeconds)),
                rates);
    }

    private EngineSnapshot engineSnapshot(HostEntry host, EngineObservation observation, long now) {
        if (observation == null) {
            return new EngineSnapshot(
                    host.name(),
                    EndpointRole.MIXED,
                    !host.isLeaving(),
                    false,
                    false,
                    now,
                    now - LONG_AGO_NANOS,
                    0,
                    0);
        }
        EngineState state = observation.state();
        RoleSince roleSince = mRoleSince.get(host.name());
        if (roleSince == null && !observation.hasHistory()) {
            roleSince = new RoleSince(state.role(), now - LONG_AGO_NANOS);
        } else if (roleSince == null || roleSince.role() != state.role() || state.isChanging()) {
            roleSince = new RoleSince(state.role(), now);
        }
        mRoleSince.put(host.name(), roleSince);
        boolean isLeaving = host.isLeaving() || state.isDraining();
        return new EngineSnapshot(
                host.name(),
                state.role(),
                !isLeaving && !state.isChanging(),
                state.isChanging(),
                !isLeaving,
                roleSince.sinceNanos(),
                observation.observedAtNanos(),
                observation.queuedPromptTokens(),
                observation.runningRequests());
    }

    /**
     * Returns the engine time that the plans are owed, as a number of engines. Usage is not
     * recorded by service, so this is an upper bound when there are several services.
     */
    private static double owedEngines(RolePlanningInput input, double intervalSeconds) {
        UsageTotals totals = input.totals();
        Map<String, Plan> plans = input.configuration().plans();
        List<PlanUsage> active =
                totals.getPlansList().stream()
                        .filter(usage -> usage.getDemandedMicros() > 0)
                        .filter(usage -> plans.containsKey(usage.getPlan()))
                        .toList();
        double totalShare =
                active.stream().mapToDouble(usage -> plans.get(usage.getPlan()).share()).sum();
        double owedEngines = 0;
        for (PlanUsage usage : active) {
            double engineShare =
                    plans.get(usage.getPlan()).share() / totalShare * input.engines().size();
            owedEngines += Math.min(engineShare, usage.getDemandedMicros() / 1e6 / intervalSeconds);
        }
        return owedEngines;
    }
}
