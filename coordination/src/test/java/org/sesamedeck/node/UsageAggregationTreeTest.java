package org.sesamedeck.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamedeck.wire.generated.PlanUsage;
import org.sesamedeck.wire.generated.UsageTotals;

class UsageAggregationTreeTest {
    private static void report(SimulatedNode node, long micros) {
        PlanUsage usage = PlanUsage.newBuilder().setPlan("kitchens").setUsedMicros(micros).build();
        node.node().usageTree().setOwnUsage(List.of(usage), List.of());
    }

    private static void assertTotals(Simulation simulation, int nodes, long micros) {
        for (SimulatedNode node : simulation.nodes()) {
            if (node.isRunning()) {
                UsageTotals totals = node.node().usageTree().totals();
                assertThat(node.name(), totals.getNodes(), is(nodes));
                assertThat(node.name(), totals.getPlans(0).getUsedMicros(), is(micros));
            }
        }
    }

    /**
     * Guards against usage that is lost or counted twice, also when the topology of the tree
     * changes.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 40})
    void totalsReachEveryNodeAndFollowChanges(int count) {
        Simulation simulation = new Simulation(count);
        simulation.start(count);
        simulation.nodes().forEach(node -> report(node, 10));
        simulation.run(Duration.ofSeconds(25));
        assertTotals(simulation, count, 10L * count);
        report(simulation.node(1), 510);
        simulation.setLoss(0.05);
        simulation.run(Duration.ofSeconds(10));
        simulation.setLoss(0);
        simulation.run(Duration.ofSeconds(12));
        assertTotals(simulation, count, 10L * count + 500);
        simulation.node(2).stop();
        simulation.run(Duration.ofSeconds(25));
        assertTotals(simulation, count - 1, 10L * (count - 1) + 500);
    }
}
