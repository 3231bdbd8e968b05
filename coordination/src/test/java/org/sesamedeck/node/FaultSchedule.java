package org.sesamedeck.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A seeded run with injected faults that counts violations by the real and the naive nodes. A node
 * violates the guarantee when it admits requests with a version that was replaced more than {@link
 * #STALENESS_BOUND} ago, or when it reverts to a lower version.
 */
final class FaultSchedule {
    private static final Duration STALENESS_BOUND = Duration.ofSeconds(6);
    private static final Duration STEP = Duration.ofMillis(100);

    private final Simulation mSimulation;
    private final Random mRandom;
    private final int mNodeCount;
    private final boolean mIsNaiveAcceptor;
    private final Map<String, NaivePollingNode> mPollingNodes = new HashMap<>();
    private final Map<String, NaiveStartingNode> mStartingNodes = new HashMap<>();
    private final Map<String, Integer> mViolations = new TreeMap<>();
    private int mProposedShare = 1;
    private String mFirstViolation = "";

    private FaultSchedule(long seed, int count, boolean isNaiveAcceptor) {
        mSimulation = new Simulation(seed);
        mRandom = new Random(~seed);
        mNodeCount = count;
        mIsNaiveAcceptor = isNaiveAcceptor;
    }

    /** Runs about two minutes of faults and a recovery. */
    static FaultSchedule run(long seed, boolean isNaiveAcceptor) {
        FaultSchedule schedule = new FaultSchedule(seed, 3 + (int) (seed % 6), isNaiveAcceptor);
        schedule.run();
        return schedule;
    }

    /** Returns the number of violations by the given kind of node. */
    int violations(String kind) {
        return mViolations.getOrDefault(kind, 0);
    }

    String firstViolation() {
        return mFirstViolation;
    }

    boolean hasRecovered() {
        long accepted = mSimulation.platform().accepted();
        return mSimulation.nodes().stream()
                .allMatch(node -> node.version() == accepted && node.isAdmitting());
    }

    private void run() {
        mSimulation.platform().propose(mProposedShare);
        mSimulation.start(mNodeCount);
        mSimulation.nodes().forEach(this::addPolling);
        step(Duration.ofSeconds(3));
        acquireLease(0);
        step(Duration.ofSeconds(5));
        for (int i = 0; i < 40; i++) {
            injectFault();
            step(Duration.ofMillis(300 + mRandom.nextInt(6000)));
        }
        recover();
    }

    private void recover() {
        mSimulation.heal();
        mSimulation.setLoss(0);
        mSimulation.platform().setDown(false);
        mSimulation.platform().setExtraDelay(Duration.ZERO);
        mSimulation.platform().setMissedEvents(0);
        mSimulation.platform().dropResponses(0);
        mSimulation.nodes().forEach(SimulatedNode::resume);
        mSimulation.nodes().forEach(SimulatedNode::loseLease);
        step(Duration.ofSeconds(5));
        acquireLease(0);
        step(Duration.ofSeconds(20));
    }

    private void addPolling(SimulatedNode node) {
        mPollingNodes.put(node.name(), NaivePollingNode.start(mSimulation, node));
    }

    private void acquireLease(int index) {
        if (mIsNaiveAcceptor) {
            mSimulation.node(index).acceptWithoutMajority();
        } else {
            mSimulation.node(index).acquireLease();
        }
    }

    private void injectFault() {
        int index = mRandom.nextInt(mNodeCount);
        SimulatedNode node = mSimulation.node(index);
        switch (mRandom.nextInt(12)) {
            case 0, 1, 2 -> mSimulation.platform().propose(++mProposedShare);
            case 3 -> {
                mSimulation.heal();
                mSimulation.isolate(randomGroup(), mRandom.nextBoolean());
            }
            case 4 -> mSimulation.heal();
            case 5 -> cutOneWay();
            case 6 -> node.pause();
            case 7 -> mSimulation.nodes().forEach(SimulatedNode::resume);
            case 8 -> {
                SimulatedNode started = mSimulation.restart(index);
                addPolling(started);
                mStartingNodes.put(started.name(), NaiveStartingNode.start(mSimulation, started));
            }
            case 9 -> mSimulation.platform().setDown(mRandom.nextBoolean());
            case 10 -> {
                mSimulation.platform().dropResponses(mRandom.nextInt(3));
                mSimulation.platform().setExtraDelay(Duration.ofMillis(mRandom.nextInt(3000)));
                mSimulation.platform().setMissedEvents(mRandom.nextDouble());
                mSimulation.setLoss(mRandom.nextDouble() * 0.2);
            }
            default -> {
                // The former holder may continue without knowing that it lost the lease.
                if (mRandom.nextBoolean()) {
                    mSimulation.nodes().forEach(SimulatedNode::loseLease);
                }
                acquireLease(index);
            }
        }
    }

    private Set<Integer> randomGroup() {
        Set<Integer> group = new HashSet<>();
        for (int i = 0; i < mNodeCount; i++) {
            if (mRandom.nextBoolean()) {
                group.add(i);
            }
        }
        return group;
    }

    private void cutOneWay() {
        int from = mRandom.nextInt(mNodeCount);
        int to = mRandom.nextInt(mNodeCount + 1);
        mSimulation.cut(
                Simulation.nameOf(from),
                to == mNodeCount ? SimulatedPlatform.NAME : Simulation.nameOf(to));
    }

    private void step(Duration duration) {
        for (long remaining = duration.toNanos(); remaining > 0; remaining -= STEP.toNanos()) {
            mSimulation.run(STEP);
            check();
        }
    }

    private void check() {
        long lowestAllowed = mSimulation.platform().acceptedBefore(STALENESS_BOUND);
        for (SimulatedNode node : mSimulation.nodes()) {
            check("real", node.name(), node.isAdmitting(), node.version(), lowestAllowed);
            count("real", node.name(), node.hasReverted());
            NaivePollingNode polling = mPollingNodes.get(node.name());
            check("polling", node.name(), polling.isAdmitting(), polling.version(), lowestAllowed);
            count("polling reverted", node.name(), polling.hasReverted());
            NaiveStartingNode starting = mStartingNodes.get(node.name());
            if (starting != null) {
                check(
                        "starting",
                        node.name(),
                        starting.isAdmitting(),
                        starting.version(),
                        lowestAllowed);
            }
        }
    }

    private void check(
            String kind, String node, boolean isAdmitting, long version, long lowestAllowed) {
        count(
                kind,
                node + " at version " + version + ", lowest allowed version " + lowestAllowed,
                isAdmitting && version < lowestAllowed);
    }

    private void count(String kind, String detail, boolean isViolation) {
        if (isViolation) {
            if (kind.equals("real") && mFirstViolation.isEmpty()) {
                mFirstViolation =
                        detail + " after " + mSimulation.clock().nanoTime() / 1_000_000 + " ms";
            }
            mViolations.merge(kind, 1, Integer::sum);
        }
    }
}
