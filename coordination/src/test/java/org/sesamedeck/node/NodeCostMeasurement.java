package org.sesamedeck.node;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.PlanUsage;

/**
 * Prints the cost of control traffic per node by number of nodes, for docs/CAPACITY.md: bytes by
 * kind of message and processor time of the control thread. All nodes run in this thread on a
 * simulated network, so the processor time includes the simulator but no system calls, framing or
 * Netty.
 */
public final class NodeCostMeasurement {
    private static final int WARM_UP_SECONDS = 20;
    private static final int ENGINES_OF_A_GROUP = 44;

    private final Simulation mSimulation;
    private final int mNodes;
    private final int mGroups;
    private final int mPlans;
    private final int mSeconds;

    private NodeCostMeasurement(int nodes, int groups, int plans, int seconds) {
        mNodes = nodes;
        mGroups = groups;
        mPlans = plans;
        mSeconds = seconds;
        mSimulation = new Simulation(nodes);
        mSimulation.setDomains(9);
        mSimulation.platform().propose(1);
        mSimulation.start(nodes);
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.node(0).acquireLease();
        mSimulation.run(Duration.ofSeconds(10));
        for (int group = 0; group < groups; group++) {
            mSimulation.node(group % nodes).node().dissemination().publish(groupDocument(group));
        }
        run(WARM_UP_SECONDS);
    }

    /** The arguments are NODES, GROUPS, PLANS and SECONDS, any number of times. */
    public static void main(String[] arguments) {
        System.out.println(
                "| nodes | groups | plans | msg/s | B/s mean | B/s of the largest sender | CPU % |"
                        + " B/s by message |");
        for (int i = 0; i + 4 <= arguments.length; i += 4) {
            new NodeCostMeasurement(
                            Integer.parseInt(arguments[i]),
                            Integer.parseInt(arguments[i + 1]),
                            Integer.parseInt(arguments[i + 2]),
                            Integer.parseInt(arguments[i + 3]))
                    .measure();
        }
    }

    /** Returns a document like those that control processes publish, with a realistic version. */
    private static VersionedDocument groupDocument(int group) {
        StringBuilder engines = new StringBuilder();
        for (int engine = 0; engine < ENGINES_OF_A_GROUP; engine++) {
            engines.append("{\"name\":\"engine-" + group + "-" + engine + "\",\"role\":\"MIXED\",");
            engines.append("\"models\":[\"house-judge\"],\"isDraining\":false},");
        }
        return VersionedDocument.of(
                "engine-group/" + group, (1_000_000L << 22) + 1, engines.toString());
    }

    private void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            mSimulation.nodes().forEach(this::reportUsage);
            mSimulation.run(Duration.ofSeconds(1));
        }
    }

    private void reportUsage(SimulatedNode node) {
        List<PlanUsage> usage = new ArrayList<>();
        for (int plan = 0; plan < mPlans; plan++) {
            usage.add(
                    PlanUsage.newBuilder()
                            .setPlan("plan-" + plan)
                            .setUsedMicros(mSimulation.random().nextInt(1_000_000))
                            .setDemandedMicros(mSimulation.random().nextInt(1_000_000))
                            .setInFlight(mSimulation.random().nextInt(100))
                            .setRequests(mSimulation.random().nextInt(100))
                            .setTokens(mSimulation.random().nextInt(100_000))
                            .build());
        }
        node.node().usageTree().setOwnUsage(usage, List.of());
    }

    private void measure() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Map<Envelope.BodyCase, Long> bytesByBodyBefore = mSimulation.traffic().bytesByBody();
        Map<String, Long> bytesBySenderBefore = mSimulation.traffic().bytesBySender();
        long messages = mSimulation.messages();
        long bytes = mSimulation.bytes();
        long cpuNanosBefore = threads.getCurrentThreadCpuTime();
        run(mSeconds);
        double nanos = threads.getCurrentThreadCpuTime() - cpuNanosBefore;
        double scale = mSeconds * (double) mNodes;
        StringBuilder byBody = new StringBuilder();
        mSimulation
                .traffic()
                .bytesByBody()
                .forEach(
                        (body, count) ->
                                byBody.append(
                                        String.format(
                                                Locale.ROOT,
                                                "%s %.0f ",
                                                body,
                                                (count - bytesByBodyBefore.getOrDefault(body, 0L))
                                                        / scale)));
        long largest =
                mSimulation.traffic().bytesBySender().entrySet().stream()
                        .mapToLong(
                                e ->
                                        e.getValue()
                                                - bytesBySenderBefore.getOrDefault(e.getKey(), 0L))
                        .max()
                        .orElse(0);
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %d | %.1f | %.0f | %.0f | %.3f | %s|%n",
                mNodes,
                mGroups,
                mPlans,
                (mSimulation.messages() - messages) / scale,
                (mSimulation.bytes() - bytes) / scale,
                largest / (double) mSeconds,
                nanos / scale / 1e7,
                byBody);
    }
}
