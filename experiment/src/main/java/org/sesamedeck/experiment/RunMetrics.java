package org.sesamedeck.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sesamedeck.routing.EndpointRole;

/**
 * Collects the outcomes of the requests and periodic samples of the fleet during a run. A request
 * is good if it completed within both latency goals of its plan.
 */
final class RunMetrics {
    /**
     * State of the fleet, sampled every second.
     *
     * @param roles role of each engine; null while it is down or changes its role
     * @param prefillFraction fraction of the work that arrived since the last sample that is
     *     prefill
     * @param workByPlan engine time used by each plan since the last sample, in seconds
     * @param requestsByEngine requests at each engine
     * @param isSettled whether no engine is down or changing its role, and each has had its role
     *     for over 5 s
     */
    record Sample(
            EndpointRole[] roles,
            double prefillFraction,
            Map<String, Double> workByPlan,
            int[] requestsByEngine,
            boolean isSettled) {
        int count(EndpointRole role) {
            int count = 0;
            for (EndpointRole each : roles) {
                count += each == role ? 1 : 0;
            }
            return count;
        }
    }

    private final int mSeconds;
    private final int[] mGoodBySecond;
    private final List<Sample> mSamples = new ArrayList<>();

    /** Number of ended requests and number of good ones, by plan. */
    private final Map<String, int[]> mCountsByPlan = new TreeMap<>();

    /** Number of ended requests and number of good ones, by client account. */
    private final Map<String, int[]> mCountsByClientAccount = new TreeMap<>();

    private int mGood;
    private int mCompleted;
    private int mRefused;
    private int mFailed;
    private int mAccepted;
    private int mRoleChanges;
    private int mLateFirstTokens;
    private int mSlowTokens;

    RunMetrics(int seconds) {
        mSeconds = seconds;
        mGoodBySecond = new int[seconds + 1];
    }

    void accepted(TraceRequest request) {
        mAccepted++;
    }

    void refused(TraceRequest request) {
        mRefused++;
        count(request, 0);
    }

    void failed(TraceRequest request) {
        mFailed++;
        count(request, 0);
    }

    void completed(TraceRequest request, long firstTokenNanos, double tokenIntervalNanos) {
        mCompleted++;
        boolean isLate =
                firstTokenNanos - request.arrivalNanos()
                        > request.plan().firstTokenGoal().toNanos();
        boolean isSlow = tokenIntervalNanos > request.plan().tokenIntervalGoal().toNanos();
        boolean isGood = !isLate && !isSlow;
        mLateFirstTokens += isLate ? 1 : 0;
        mSlowTokens += isSlow ? 1 : 0;
        if (isGood) {
            mGood++;
            // Counted at the second of arrival, so that goodput and demand of a second are
            // comparable.
            mGoodBySecond[(int) (request.arrivalNanos() / 1_000_000_000L)]++;
        }
        count(request, isGood ? 1 : 0);
    }

    private void count(TraceRequest request, int good) {
        int[] plan = mCountsByPlan.computeIfAbsent(request.plan().name(), key -> new int[2]);
        plan[0]++;
        plan[1] += good;
        int[] clientAccount =
                mCountsByClientAccount.computeIfAbsent(request.clientAccount(), key -> new int[2]);
        clientAccount[0]++;
        clientAccount[1] += good;
    }

    int lateFirstTokens() {
        return mLateFirstTokens;
    }

    int slowTokens() {
        return mSlowTokens;
    }

    void roleChangeStarted() {
        mRoleChanges++;
    }

    void addSample(Sample sample) {
        mSamples.add(sample);
    }

    double goodput() {
        return mGood / (double) mSeconds;
    }

    int good() {
        return mGood;
    }

    int[] goodBySecond() {
        return mGoodBySecond;
    }

    int roleChanges() {
        return mRoleChanges;
    }

    int refused() {
        return mRefused;
    }

    int failed() {
        return mFailed;
    }

    /** Returns the accepted requests that neither completed nor failed; must be 0 after a run. */
    int unresolved() {
        return mAccepted - mCompleted - mFailed;
    }

    List<Sample> samples() {
        return mSamples;
    }

    /** Returns the fraction of good requests of the runaway client account, or of all others. */
    double goodFraction(boolean isRunaway) {
        double total = 0;
        double good = 0;
        for (Map.Entry<String, int[]> clientAccount : mCountsByClientAccount.entrySet()) {
            if (clientAccount.getKey().equals("runaway") == isRunaway) {
                total += clientAccount.getValue()[0];
                good += clientAccount.getValue()[1];
            }
        }
        return total == 0 ? 1 : good / total;
    }
}
