package org.sesamedeck.experiment;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.EngineSnapshot;
import org.sesamedeck.routing.FleetSnapshot;
import org.sesamedeck.routing.RoleChange;
import org.sesamedeck.routing.RolePlanner;

/**
 * Baseline planner that changes roles by thresholds. When the demand for one phase, averaged over a
 * few seconds, exceeds 90% of the capacity of its engines and that for the other phase is below
 * 70%, one engine changes its role. Changes run one at a time, without forecast, cost, hysteresis
 * or minimum dwell time.
 */
final class ReactivePlanner implements RolePlanner {
    private static final double OVERLOADED_UTILIZATION = 0.9;
    private static final double SPARE_UTILIZATION = 0.7;
    private static final double SMOOTHING_FACTOR = 0.8;

    private double mSmoothedPrefillDemand;
    private double mSmoothedDecodeDemand;

    private ReactivePlanner() {}

    static ReactivePlanner create() {
        return new ReactivePlanner();
    }

    @Override
    public Optional<RoleChange> plan(FleetSnapshot snapshot) {
        double prefillDemand =
                snapshot.promptTokensPerSecond() / snapshot.rates().prefillTokensPerSecond();
        double decodeDemand =
                snapshot.outputTokensPerSecond() / snapshot.rates().decodeTokensPerSecond();
        mSmoothedPrefillDemand =
                SMOOTHING_FACTOR * mSmoothedPrefillDemand + (1 - SMOOTHING_FACTOR) * prefillDemand;
        mSmoothedDecodeDemand =
                SMOOTHING_FACTOR * mSmoothedDecodeDemand + (1 - SMOOTHING_FACTOR) * decodeDemand;
        if (snapshot.engines().stream().anyMatch(EngineSnapshot::isChanging)) {
            return Optional.empty();
        }
        List<EngineSnapshot> prefillEngines = usableEngines(snapshot, EndpointRole.PREFILL);
        List<EngineSnapshot> decodeEngines = usableEngines(snapshot, EndpointRole.DECODE);
        double prefillUtilization = mSmoothedPrefillDemand / Math.max(1, prefillEngines.size());
        double decodeUtilization = mSmoothedDecodeDemand / Math.max(1, decodeEngines.size());
        if (prefillUtilization > OVERLOADED_UTILIZATION
                && decodeUtilization < SPARE_UTILIZATION
                && decodeEngines.size() > 1) {
            return change(decodeEngines, EndpointRole.DECODE, EndpointRole.PREFILL);
        }
        if (decodeUtilization > OVERLOADED_UTILIZATION
                && prefillUtilization < SPARE_UTILIZATION
                && prefillEngines.size() > 1) {
            return change(prefillEngines, EndpointRole.PREFILL, EndpointRole.DECODE);
        }
        return Optional.empty();
    }

    private static List<EngineSnapshot> usableEngines(FleetSnapshot snapshot, EndpointRole role) {
        return snapshot.engines().stream()
                .filter(engine -> engine.isUsable() && engine.role() == role)
                .toList();
    }

    private static Optional<RoleChange> change(
            List<EngineSnapshot> engines, EndpointRole from, EndpointRole to) {
        return engines.stream()
                .min(
                        Comparator.comparingInt(EngineSnapshot::runningRequests)
                                .thenComparing(EngineSnapshot::name))
                .map(engine -> new RoleChange(engine.name(), from, to, 0, 0));
    }
}
