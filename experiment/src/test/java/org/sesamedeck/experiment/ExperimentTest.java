package org.sesamedeck.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the simulation, its traces and the offline bound. */
class ExperimentTest {
    /** Guards against simulation results that cannot be reproduced from the seed. */
    @Test
    void runIsReproducibleFromSeed() {
        Trace trace = TraceKind.SWINGING.draw(Workload.ZITOUNA, 3);
        assertThat(TraceKind.SWINGING.draw(Workload.ZITOUNA, 3).requests(), is(trace.requests()));
        RunMetrics first = ClusterSimulation.run(trace, Policy.GOODPUT);
        RunMetrics second = ClusterSimulation.run(trace, Policy.GOODPUT);
        assertThat(second.good(), is(first.good()));
        assertThat(second.roleChanges(), is(first.roleChanges()));
    }

    /** Guards against accepted requests that are lost during role changes or an engine crash. */
    @Test
    void everyAcceptedRequestCompletesOrFails() {
        Trace trace = TraceKind.LOSS_IN_FLIP.draw(Workload.QOIMA, 2);
        for (Policy policy : new Policy[] {Policy.REACTIVE, Policy.GOODPUT}) {
            RunMetrics metrics = ClusterSimulation.run(trace, policy);
            assertThat(policy.title(), metrics.unresolved(), is(0));
        }
    }

    /** Guards against a bound that a run can exceed, or that exceeds the rate of arrivals. */
    @Test
    void offlineBoundIsNotExceededByAnyPolicy() {
        for (TraceKind kind : new TraceKind[] {TraceKind.STEADY, TraceKind.RUNAWAY}) {
            Trace trace = kind.draw(Workload.ZITOUNA, 5);
            double bound = OfflineBound.goodput(trace);
            assertThat(bound, is(lessThanOrEqualTo(trace.requests().size() / trace.seconds())));
            for (Policy policy : Policy.values()) {
                assertThat(
                        policy.title(),
                        ClusterSimulation.run(trace, policy).goodput(),
                        is(lessThanOrEqualTo(bound)));
            }
        }
    }

    /** Guards against a bound that does not redistribute unused shares. */
    @Test
    void waterFillDividesByWeightAndRedistributesUnusedParts() {
        Map<String, Double> granted =
                OfflineBound.waterFill(
                        100,
                        Map.of("small", 10.0, "large", 200.0, "other", 200.0),
                        Map.of("small", 50.0, "large", 30.0, "other", 20.0));
        assertThat(granted.get("small"), is(closeTo(10, 1e-9)));
        assertThat(granted.get("large"), is(closeTo(54, 1e-9)));
        assertThat(granted.get("other"), is(closeTo(36, 1e-9)));
    }

    /** Guards against a flip trace whose work does not shift from prefill to decode. */
    @Test
    void flipTraceReducesPrefillFraction() {
        Trace trace = TraceKind.FLIP.draw(Workload.QOIMA, 1);
        double before = prefillFraction(trace, 0, 300);
        assertThat(before, is(greaterThan(0.6)));
        // The summaries of Qoima have prompts too, so the fraction cannot fall below about 0.3.
        assertThat(before - prefillFraction(trace, 300, 600), is(greaterThan(0.3)));
    }

    private static double prefillFraction(Trace trace, double fromSecond, double toSecond) {
        double prefillWork = 0;
        double totalWork = 0;
        for (TraceRequest request : trace.requests()) {
            double second = request.arrivalNanos() / 1e9;
            if (second >= fromSecond && second < toSecond) {
                prefillWork += EngineCostModel.workSeconds(request.promptTokens(), 0);
                totalWork += request.workSeconds();
            }
        }
        return prefillWork / totalWork;
    }
}
