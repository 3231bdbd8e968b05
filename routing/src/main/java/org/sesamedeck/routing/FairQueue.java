package org.sesamedeck.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * Weighted fair queueing by plan and, within a plan, by client account with equal weights.
 *
 * <p>Start-time fair queueing: each flow has a finish tag, the virtual time at which its charged
 * work ends; the flow with the lowest start tag is next. A flow that was idle starts at the current
 * virtual time: it neither accumulates credit nor pays for capacity that others borrowed meanwhile.
 * Costs are in microseconds of engine time. Not thread-safe.
 *
 * @param <T> type of the queued items
 */
public final class FairQueue<T> {
    private static final int MAX_IDLE_CLIENT_ACCOUNTS = 4096;

    private final Map<String, PlanFlow<T>> mPlans = new HashMap<>();
    private double mVirtualTime;
    private long mSequence;
    private int mSize;

    private FairQueue() {}

    /** Returns an empty queue; plans have weight 1 unless set otherwise. */
    public static <T> FairQueue<T> create() {
        return new FairQueue<>();
    }

    /**
     * Sets the weight of a plan.
     *
     * @throws IllegalArgumentException if the weight is not positive
     */
    public void setWeight(String plan, double weight) {
        if (!(weight > 0)) {
            throw new IllegalArgumentException(
                    "plan " + plan + " has a weight that is not positive: " + weight);
        }
        planOf(plan).mWeight = weight;
    }

    /** Adds an item; within a client account, higher priorities go first. */
    public Entry<T> add(String plan, String clientAccount, int priority, double cost, T item) {
        PlanFlow<T> planFlow = planOf(plan);
        ClientAccountFlow<T> flow =
                planFlow.mClientAccounts.computeIfAbsent(
                        clientAccount, key -> new ClientAccountFlow<>(planFlow));
        Entry<T> entry = new Entry<>(flow, priority, mSequence++, Math.max(1, cost), item);
        if (flow.mEntries.isEmpty()) {
            planFlow.mActiveClientAccounts++;
        }
        flow.mEntries.add(entry);
        flow.mQueuedCost += entry.mCost;
        planFlow.mQueuedCost += entry.mCost;
        planFlow.mSize++;
        mSize++;
        return entry;
    }

    /** Returns the next item without removing it. */
    public Optional<Entry<T>> peek() {
        PlanFlow<T> plan = nextPlan();
        return plan == null ? Optional.empty() : Optional.of(plan.next().mEntries.first());
    }

    /** Removes the next item and charges its cost to the plan and the client account. */
    public Optional<Entry<T>> poll() {
        PlanFlow<T> plan = nextPlan();
        if (plan == null) {
            return Optional.empty();
        }
        ClientAccountFlow<T> clientAccount = plan.next();
        Entry<T> entry = clientAccount.mEntries.first();
        mVirtualTime = Math.max(mVirtualTime, plan.mFinishTag);
        plan.mFinishTag = mVirtualTime + entry.mCost / plan.mWeight;
        plan.mVirtualTime = Math.max(plan.mVirtualTime, clientAccount.mFinishTag);
        clientAccount.mFinishTag = plan.mVirtualTime + entry.mCost;
        remove(entry);
        return Optional.of(entry);
    }

    /** Removes an item without charging its cost. Returns whether it was still queued. */
    public boolean remove(Entry<T> entry) {
        ClientAccountFlow<T> clientAccount = entry.mFlow;
        if (!clientAccount.mEntries.remove(entry)) {
            return false;
        }
        PlanFlow<T> plan = clientAccount.mPlan;
        clientAccount.mQueuedCost -= entry.mCost;
        plan.mQueuedCost -= entry.mCost;
        plan.mSize--;
        mSize--;
        if (clientAccount.mEntries.isEmpty()) {
            plan.mActiveClientAccounts--;
            clientAccount.mQueuedCost = 0;
        }
        if (plan.mSize == 0) {
            plan.mQueuedCost = 0;
        }
        plan.removeIdleClientAccounts();
        return true;
    }

    /** Charges the difference between the actual and the estimated cost of a polled item. */
    public void correct(String plan, String clientAccount, double difference) {
        PlanFlow<T> planFlow = planOf(plan);
        planFlow.mFinishTag += difference / planFlow.mWeight;
        ClientAccountFlow<T> flow = planFlow.mClientAccounts.get(clientAccount);
        if (flow != null) {
            flow.mFinishTag += difference;
        }
    }

    /**
     * Returns the item to shed first: of the plan with the highest rank, the client account with
     * the most queued cost, the lowest priority.
     */
    public Optional<Entry<T>> sheddingCandidate(ToDoubleFunction<String> sheddingRank) {
        String candidatePlan = null;
        double highestRank = Double.NEGATIVE_INFINITY;
        for (Map.Entry<String, PlanFlow<T>> plan : mPlans.entrySet()) {
            if (plan.getValue().mSize > 0) {
                double rank = sheddingRank.applyAsDouble(plan.getKey());
                if (rank > highestRank) {
                    candidatePlan = plan.getKey();
                    highestRank = rank;
                }
            }
        }
        if (candidatePlan == null) {
            return Optional.empty();
        }
        return mPlans.get(candidatePlan).mClientAccounts.values().stream()
                .filter(flow -> !flow.mEntries.isEmpty())
                .max(Comparator.comparingDouble(flow -> flow.mQueuedCost))
                .map(flow -> flow.mEntries.last());
    }

    /** Returns the number of queued items. */
    public int size() {
        return mSize;
    }

    /** Returns the number of queued items of a plan. */
    public int size(String plan) {
        PlanFlow<T> flow = mPlans.get(plan);
        return flow == null ? 0 : flow.mSize;
    }

    /**
     * Returns the cost that is served before a new item of the client account within its plan: its
     * own queued cost times the number of client accounts of the plan with queued items, but no
     * more than the plan's queued cost.
     */
    public double costAhead(String plan, String clientAccount) {
        PlanFlow<T> planFlow = mPlans.get(plan);
        if (planFlow == null) {
            return 0;
        }
        ClientAccountFlow<T> flow = planFlow.mClientAccounts.get(clientAccount);
        double own = flow == null ? 0 : flow.mQueuedCost;
        int others = planFlow.mActiveClientAccounts - (own > 0 ? 1 : 0);
        return Math.min(planFlow.mQueuedCost, own * (others + 1));
    }

    /**
     * Returns the plan's fraction of the summed weights of plans with queued items, itself
     * included.
     */
    public double activeShare(String plan) {
        double sum = 0;
        for (PlanFlow<T> flow : mPlans.values()) {
            sum += flow.mSize > 0 ? flow.mWeight : 0;
        }
        PlanFlow<T> own = planOf(plan);
        return own.mWeight / (own.mSize > 0 ? sum : sum + own.mWeight);
    }

    private PlanFlow<T> planOf(String plan) {
        return mPlans.computeIfAbsent(plan, key -> new PlanFlow<>());
    }

    private PlanFlow<T> nextPlan() {
        PlanFlow<T> best = null;
        double bestStartTag = Double.POSITIVE_INFINITY;
        for (PlanFlow<T> plan : mPlans.values()) {
            if (plan.mSize > 0) {
                double startTag = Math.max(mVirtualTime, plan.mFinishTag);
                if (startTag < bestStartTag) {
                    best = plan;
                    bestStartTag = startTag;
                }
            }
        }
        return best;
    }

    /** A queued item with its cost in microseconds. */
    public static final class Entry<T> {
        private final ClientAccountFlow<T> mFlow;
        private final int mPriority;
        private final long mSequence;
        private final double mCost;
        private final T mItem;

        private Entry(ClientAccountFlow<T> flow, int priority, long sequence, double cost, T item) {
            mFlow = flow;
            mPriority = priority;
            mSequence = sequence;
            mCost = cost;
            mItem = item;
        }

        /** Returns the queued item. */
        public T item() {
            return mItem;
        }

        /** Returns the charged cost in microseconds. */
        public double cost() {
            return mCost;
        }
    }

    /** Queue state of a plan. */
    private static final class PlanFlow<T> {
        private final Map<String, ClientAccountFlow<T>> mClientAccounts = new HashMap<>();
        private double mWeight = 1;
        private double mFinishTag;
        private double mVirtualTime;
        private double mQueuedCost;
        private int mSize;
        private int mActiveClientAccounts;

        ClientAccountFlow<T> next() {
            ClientAccountFlow<T> best = null;
            double bestStartTag = Double.POSITIVE_INFINITY;
            for (ClientAccountFlow<T> clientAccount : mClientAccounts.values()) {
                if (!clientAccount.mEntries.isEmpty()) {
                    double startTag = Math.max(mVirtualTime, clientAccount.mFinishTag);
                    if (startTag < bestStartTag
                            || startTag == bestStartTag
                                    && clientAccount.mEntries.first().mSequence
                                            < best.mEntries.first().mSequence) {
                        best = clientAccount;
                        bestStartTag = startTag;
                    }
                }
            }
            return best;
        }

        void removeIdleClientAccounts() {
            if (mClientAccounts.size() > MAX_IDLE_CLIENT_ACCOUNTS) {
                mClientAccounts
                        .values()
                        .removeIf(
                                flow -> flow.mEntries.isEmpty() && flow.mFinishTag <= mVirtualTime);
            }
        }
    }

    /** Queue state of a client account within a plan. */
    private static final class ClientAccountFlow<T> {
        private final PlanFlow<T> mPlan;
        private final TreeSet<Entry<T>> mEntries =
                new TreeSet<>(
                        Comparator.<Entry<T>>comparingInt(entry -> -entry.mPriority)
                                .thenComparingLong(entry -> entry.mSequence));
        private double mFinishTag;
        private double mQueuedCost;

        ClientAccountFlow(PlanFlow<T> plan) {
            mPlan = plan;
        }
    }
}
