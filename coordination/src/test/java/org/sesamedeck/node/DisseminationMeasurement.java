package org.sesamedeck.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.sesamedeck.wire.generated.PlanUsage;

/**
 * Prints the cost of control traffic per node and the time a change takes, for the table in
 * docs/dissemination.md. All nodes run in this process on a simulated network; bytes are those of
 * the frames, without TCP and IP headers.
 */
public final class DisseminationMeasurement {
    private static final Duration CHANGE_INTERVAL = Duration.ofSeconds(13);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int CHANGES = 10;
    private static final int CLIENT_ACCOUNTS = 210;
    private static final int PLANS = 10;

    private final Simulation mSimulation;
    private final int mNodeCount;

    private DisseminationMeasurement(int count, double loss) {
        mSimulation = new Simulation(count);
        mNodeCount = count;
        propose(0);
        mSimulation.start(count);
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.node(0).acquireLease();
        mSimulation.run(Duration.ofSeconds(30));
        mSimulation.setLoss(loss);
        mSimulation.nodes().forEach(this::reportUsage);
        mSimulation.run(Duration.ofSeconds(5));
    }

    /** The arguments are numbers of nodes. */
    public static void main(String[] arguments) {
        System.out.println(
                "| nodes | loss | idle msg/s | idle B/s | changing msg/s | changing B/s | median s |"
                        + " longest s | store calls/s |");
        for (String argument : arguments) {
            new DisseminationMeasurement(Integer.parseInt(argument), 0).measure(0);
            new DisseminationMeasurement(Integer.parseInt(argument), 0.05).measure(0.05);
        }
    }

    private void reportUsage(SimulatedNode node) {
        List<PlanUsage> usage = new ArrayList<>();
        for (int plan = 0; plan < PLANS; plan++) {
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

    private void propose(int number) {
        Random random = new Random(number);
        StringBuilder plans = new StringBuilder();
        StringBuilder entitlements = new StringBuilder();
        for (int plan = 0; plan < PLANS; plan++) {
            plans.append("[plan plan-" + plan + "]\nshare = " + (1 + number % 50) + "\n");
            entitlements.append("[plan plan-" + plan + "]\nmodels = house-judge, notes-writer\n");
        }
        for (int clientAccount = 0; clientAccount < CLIENT_ACCOUNTS; clientAccount++) {
            plans.append(
                    "[customer customer-"
                            + clientAccount
                            + "]\nplan = plan-"
                            + clientAccount % PLANS);
            plans.append("\nkey-sha256 = ");
            // In practice the keys of a client account stay the same from version to version; new
            // ones are the worst case for compression only, not for dissemination.
            for (int i = 0; i < 8; i++) {
                plans.append(String.format("%08x", random.nextInt()));
            }
            plans.append('\n');
        }
        mSimulation
                .platform()
                .put(
                        ConfigurationAcceptor.CANDIDATE_LISTS,
                        new CandidateLists(plans.toString(), entitlements.toString(), "m", "")
                                .toJson());
    }

    private void measure(double loss) {
        double[] idle = measureTraffic(Duration.ofSeconds(60));
        List<Double> seconds = new ArrayList<>();
        long messages = mSimulation.messages();
        long bytes = mSimulation.bytes();
        long calls = mSimulation.platform().calls();
        for (int change = 1; change <= CHANGES; change++) {
            seconds.add(secondsToReachAllNodes(change));
        }
        double span = CHANGES * CHANGE_INTERVAL.toSeconds();
        seconds.sort(Double::compare);
        System.out.printf(
                Locale.ROOT,
                "| %d | %.2f | %.1f | %.0f | %.1f | %.0f | %.2f | %.2f | %.1f |%n",
                mNodeCount,
                loss,
                idle[0],
                idle[1],
                (mSimulation.messages() - messages) / span / mNodeCount,
                (mSimulation.bytes() - bytes) / span / mNodeCount,
                seconds.get(CHANGES / 2),
                seconds.get(CHANGES - 1),
                (mSimulation.platform().calls() - calls) / span);
    }

    /** Returns the messages and the bytes that a node sends per second. */
    private double[] measureTraffic(Duration duration) {
        long messages = mSimulation.messages();
        long bytes = mSimulation.bytes();
        for (int i = 0; i < duration.toSeconds(); i++) {
            mSimulation.run(Duration.ofSeconds(1));
            mSimulation.nodes().forEach(this::reportUsage);
        }
        double scale = duration.toSeconds() * (double) mNodeCount;
        return new double[] {
            (mSimulation.messages() - messages) / scale, (mSimulation.bytes() - bytes) / scale
        };
    }

    /** Returns the seconds from writing the candidate until the last node has the new version. */
    private double secondsToReachAllNodes(int number) {
        long start = mSimulation.clock().nanoTime();
        long version = mSimulation.platform().accepted() + 1;
        propose(number);
        double reached = -1;
        long nextUsage = start;
        while (mSimulation.clock().nanoTime() - start < CHANGE_INTERVAL.toNanos()) {
            mSimulation.run(STEP);
            if (mSimulation.clock().nanoTime() >= nextUsage) {
                nextUsage += Duration.ofSeconds(1).toNanos();
                mSimulation.nodes().forEach(this::reportUsage);
            }
            boolean isEverywhere =
                    mSimulation.nodes().stream().allMatch(node -> node.version() >= version);
            if (reached < 0 && isEverywhere) {
                reached = (mSimulation.clock().nanoTime() - start) / 1e9;
            }
        }
        return reached < 0 ? Double.POSITIVE_INFINITY : reached;
    }
}
