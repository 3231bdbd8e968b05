package org.sesamedeck.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.PlanUsage;
import org.sesamedeck.wire.generated.ServiceDemand;
import org.sesamedeck.wire.generated.UsageSummary;
import org.sesamedeck.wire.generated.UsageTotals;

/**
 * Aggregates usage over all nodes in a tree with fan-in 4 and returns the totals to every node,
 * once a second. Only entries that changed are sent. The order in the tree is a ranking of the live
 * members; a parent always ranks before its children, so nodes with different views of the
 * membership never form a cycle.
 *
 * <p>A summary with sequence number 1 is complete and starts a series; each further one of the
 * series has the changes only. When a call fails or the parent changes, the child starts a new
 * series.
 */
public final class UsageAggregationTree {
    static final int FAN_IN = 4;
    private static final long INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long CHILD_TIMEOUT_NANOS = Duration.ofMillis(2500).toNanos();
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);
    private static final String RANKING_KEY = "usage";

    private final Clock mClock;
    private final PeerTransport mTransport;
    private final Membership mMembership;
    private final MemberRanking mRanking;
    private final Map<String, Child> mChildren = new TreeMap<>();
    private final List<Consumer<UsageTotals>> mListeners = new ArrayList<>();
    private Map<String, PlanUsage> mOwnPlans = Map.of();
    private Map<String, ServiceDemand> mOwnDemands = Map.of();
    private Map<String, PlanUsage> mTotalPlans = new TreeMap<>();
    private Map<String, ServiceDemand> mTotalDemands = new TreeMap<>();
    private int mTotalNodes = 1;
    private UsageTotals mTotals = UsageTotals.getDefaultInstance();
    private String mParent = "";
    private long mSequence;
    private Map<String, PlanUsage> mSentPlans = Map.of();
    private Map<String, ServiceDemand> mSentDemands = Map.of();
    private long mNextSummary;

    private static final class Child {
        private long mSequence;
        private long mReceivedAt;
        private int mNodes;
        private final Map<String, PlanUsage> mPlans = new HashMap<>();
        private final Map<String, ServiceDemand> mDemands = new HashMap<>();
        private Map<String, PlanUsage> mReportedPlans = Map.of();
        private Map<String, ServiceDemand> mReportedDemands = Map.of();
    }

    private UsageAggregationTree(
            Clock clock, PeerTransport transport, Membership membership, MemberRanking ranking) {
        mClock = clock;
        mTransport = transport;
        mMembership = membership;
        mRanking = ranking;
        mNextSummary = clock.nanoTime();
    }

    /** Returns a tree over the members of a membership. */
    public static UsageAggregationTree create(
            Clock clock, PeerTransport transport, Membership membership, MemberRanking ranking) {
        return new UsageAggregationTree(clock, transport, membership, ranking);
    }

    /** Registers a listener for new totals. */
    public void addListener(Consumer<UsageTotals> listener) {
        mListeners.add(listener);
    }

    /** Returns the last totals over all nodes. */
    public UsageTotals totals() {
        return mTotals;
    }

    /** Sets the usage of this node in the last interval. */
    public void setOwnUsage(Collection<PlanUsage> plans, Collection<ServiceDemand> demands) {
        mOwnPlans = new TreeMap<>();
        plans.forEach(plan -> mOwnPlans.merge(plan.getPlan(), plan, UsageAggregationTree::add));
        mOwnDemands = new TreeMap<>();
        demands.forEach(d -> mOwnDemands.merge(d.getService(), d, UsageAggregationTree::add));
    }

    /** Sends the summary of this node's subtree when it is due. */
    public void tick() {
        long now = mClock.nanoTime();
        if (now < mNextSummary) {
            return;
        }
        mNextSummary = now + INTERVAL_NANOS;
        mChildren.values().removeIf(child -> now - child.mReceivedAt > CHILD_TIMEOUT_NANOS);
        Optional<Member> parent = parent();
        if (parent.isEmpty()) {
            mParent = "";
            mTotalPlans = subtreePlans();
            mTotalDemands = subtreeDemands();
            mTotalNodes = subtreeNodes();
            publishTotals();
            return;
        }
        if (!parent.get().name().equals(mParent)) {
            mParent = parent.get().name();
            mSequence = 0;
        }
        send(parent.get());
    }

    private Optional<Member> parent() {
        List<String> ranked = mRanking.rank(RANKING_KEY);
        int position = ranked.indexOf(mMembership.self().name());
        return position <= 0
                ? Optional.empty()
                : mMembership.find(ranked.get((position - 1) / FAN_IN));
    }

    private void send(Member parent) {
        Map<String, PlanUsage> plans = subtreePlans();
        Map<String, ServiceDemand> demands = subtreeDemands();
        if (mSequence == 0) {
            mSentPlans = Map.of();
            mSentDemands = Map.of();
        }
        long sequence = ++mSequence;
        UsageSummary.Builder summary =
                UsageSummary.newBuilder()
                        .setNode(mMembership.self().name())
                        .setSequence(sequence)
                        .setNodes(subtreeNodes());
        changedPlans(mSentPlans, plans).forEach(summary::addPlans);
        changedDemands(mSentDemands, demands).forEach(summary::addDemands);
        mSentPlans = plans;
        mSentDemands = demands;
        mTransport
                .call(
                        parent.address(),
                        Envelopes.builder().setUsageSummary(summary).build(),
                        CALL_TIMEOUT)
                .whenComplete(
                        (reply, failure) -> {
                            boolean isCurrent =
                                    parent.name().equals(mParent) && sequence == mSequence;
                            if (!isCurrent) {
                                return;
                            }
                            if (failure == null) {
                                acceptTotals(sequence, reply.getUsageTotals());
                            } else {
                                mSequence = 0;
                            }
                        });
    }

    private void acceptTotals(long sequence, UsageTotals totals) {
        if (sequence == 1) {
            mTotalPlans = new TreeMap<>();
            mTotalDemands = new TreeMap<>();
        }
        totals.getPlansList().forEach(plan -> mTotalPlans.put(plan.getPlan(), plan));
        totals.getDemandsList().forEach(d -> mTotalDemands.put(d.getService(), d));
        mTotalNodes = totals.getNodes();
        publishTotals();
    }

    private void publishTotals() {
        mTotals =
                UsageTotals.newBuilder()
                        .setSequence(mTotals.getSequence() + 1)
                        .setNodes(mTotalNodes)
                        .setIntervalMillis(Duration.ofNanos(INTERVAL_NANOS).toMillis())
                        .addAllPlans(mTotalPlans.values())
                        .addAllDemands(mTotalDemands.values())
                        .build();
        mListeners.forEach(listener -> listener.accept(mTotals));
    }

    /**
     * Handles the summary of a child.
     *
     * @return the reply: totals that changed since the last reply to this child
     * @throws SesamedeckException with VERSION_CONFLICT when an earlier summary of the series is
     *     missing; the child then starts a new series
     */
    public UsageTotals onSummary(UsageSummary summary) {
        Child child = mChildren.get(summary.getNode());
        if (summary.getSequence() == 1) {
            child = new Child();
            mChildren.put(summary.getNode(), child);
        } else if (child == null || child.mSequence + 1 != summary.getSequence()) {
            mChildren.remove(summary.getNode());
            throw SesamedeckException.of(
                    ResultCode.VERSION_CONFLICT, "summary series of " + summary.getNode());
        }
        child.mSequence = summary.getSequence();
        child.mReceivedAt = mClock.nanoTime();
        child.mNodes = summary.getNodes();
        for (PlanUsage plan : summary.getPlansList()) {
            child.mPlans.put(plan.getPlan(), plan);
        }
        for (ServiceDemand demand : summary.getDemandsList()) {
            child.mDemands.put(demand.getService(), demand);
        }
        UsageTotals.Builder reply =
                UsageTotals.newBuilder().setSequence(summary.getSequence()).setNodes(mTotalNodes);
        changedPlans(child.mReportedPlans, mTotalPlans).forEach(reply::addPlans);
        changedDemands(child.mReportedDemands, mTotalDemands).forEach(reply::addDemands);
        child.mReportedPlans = Map.copyOf(mTotalPlans);
        child.mReportedDemands = Map.copyOf(mTotalDemands);
        return reply.build();
    }

    private int subtreeNodes() {
        return 1 + mChildren.values().stream().mapToInt(child -> child.mNodes).sum();
    }

    private Map<String, PlanUsage> subtreePlans() {
        Map<String, PlanUsage> sum = new TreeMap<>(mOwnPlans);
        for (Child child : mChildren.values()) {
            child.mPlans.forEach((name, plan) -> sum.merge(name, plan, UsageAggregationTree::add));
        }
        return sum;
    }

    private Map<String, ServiceDemand> subtreeDemands() {
        Map<String, ServiceDemand> sum = new TreeMap<>(mOwnDemands);
        for (Child child : mChildren.values()) {
            child.mDemands.forEach(
                    (name, demand) -> sum.merge(name, demand, UsageAggregationTree::add));
        }
        return sum;
    }

    private static List<PlanUsage> changedPlans(
            Map<String, PlanUsage> before, Map<String, PlanUsage> after) {
        List<PlanUsage> changed = new ArrayList<>();
        after.forEach(
                (name, plan) -> {
                    if (!plan.equals(before.get(name))) {
                        changed.add(plan);
                    }
                });
        // A removed entry is sent once with zero values.
        before.forEach(
                (name, plan) -> {
                    if (!after.containsKey(name)) {
                        changed.add(PlanUsage.newBuilder().setPlan(name).build());
                    }
                });
        return changed;
    }

    private static List<ServiceDemand> changedDemands(
            Map<String, ServiceDemand> before, Map<String, ServiceDemand> after) {
        List<ServiceDemand> changed = new ArrayList<>();
        after.forEach(
                (name, demand) -> {
                    if (!demand.equals(before.get(name))) {
                        changed.add(demand);
                    }
                });
        before.forEach(
                (name, demand) -> {
                    if (!after.containsKey(name)) {
                        changed.add(ServiceDemand.newBuilder().setService(name).build());
                    }
                });
        return changed;
    }

    private static PlanUsage add(PlanUsage first, PlanUsage second) {
        return PlanUsage.newBuilder()
                .setPlan(first.getPlan())
                .setUsedMicros(first.getUsedMicros() + second.getUsedMicros())
                .setDemandedMicros(first.getDemandedMicros() + second.getDemandedMicros())
                .setInFlight(first.getInFlight() + second.getInFlight())
                .setRequests(first.getRequests() + second.getRequests())
                .setTokens(first.getTokens() + second.getTokens())
                .build();
    }

    private static ServiceDemand add(ServiceDemand first, ServiceDemand second) {
        return ServiceDemand.newBuilder()
                .setService(first.getService())
                .setPromptTokens(first.getPromptTokens() + second.getPromptTokens())
                .setOutputTokens(first.getOutputTokens() + second.getOutputTokens())
                .setRequests(first.getRequests() + second.getRequests())
                .setQueued(first.getQueued() + second.getQueued())
                .build();
    }
}
