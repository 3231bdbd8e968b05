package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which requests are turned away at once while the engines of their service have more
 * prompts than they can process. Without input and output; not thread-safe.
 *
 * <p>It answers a load above the capacity for seconds or minutes, from kinds of requests of
 * different urgency and accounts of very different size. Engines process prompts almost in order of
 * arrival, since only those beyond their slots are ordered by priority. If all requests were sent,
 * all would wait until shortly before their callers leave, the most urgent ones too, and the work
 * on those whose callers left meanwhile would be lost.
 *
 * <p>Nothing is held back: dozens of processes that see the backlog late leave engines idle when
 * they hold requests for them.
 *
 * <ul>
 *   <li>The more urgent a kind, the longer the backlog up to which it is sent; accounts above their
 *       share are sent up to a shorter one. So the least urgent requests make room first, and among
 *       them those of the largest accounts.
 *   <li>The size of a request has no influence, so that long ones are served as often as short
 *       ones.
 *   <li>One request in five is drawn and counts as most urgent. No kind and no account is thus
 *       passed over for long, and none is served more often than one that is more urgent. A caller
 *       that repeats a request draws the same again.
 * </ul>
 */
public final class StartPolicy {
    /** One request in this many is drawn. */
    private static final int DRAW_INTERVAL = 5;

    /** Callers leave when nothing has come after this time, or after a multiple of the target. */
    private static final double MIN_PATIENCE_NANOS = Duration.ofSeconds(2).toNanos();

    private static final double PATIENCE_TARGETS = 4;

    /**
     * Backlog up to which the least urgent requests are sent, as a fraction of the callers'
     * patience. The rest is for the prompt itself and for the transfer to the engine that responds.
     */
    private static final double BACKLOG_FRACTION = 0.5;

    /** Added for each kind that is less urgent. */
    private static final double FRACTION_STEP = 0.15;

    /**
     * No request is sent beyond this fraction, since its caller would leave before the response.
     */
    private static final double MAX_FRACTION = 0.9;

    /**
     * Taken off for accounts above their share: less than the step between two kinds, so that the
     * urgency of a kind goes before the share of an account.
     */
    private static final double OVER_SHARE_STEP = 0.1;

    private final AccountShares mShares;

    /** Longest target latency by urgency. */
    private final TreeMap<Integer, Double> mTargets = new TreeMap<>();

    /** What happens to a request. */
    public enum Verdict {
        /** It is sent at the priority of its account or route. */
        START,
        /** It is drawn and sent at the priority of the most urgent requests. */
        START_FIRST,
        /** It is turned away at once. */
        REFUSE
    }

    private StartPolicy(AccountShares shares) {
        mShares = shares;
    }

    /** Returns a policy that has seen no requests. */
    public static StartPolicy create(AccountShares shares) {
        return new StartPolicy(shares);
    }

    /**
     * Decides on a request.
     *
     * @param backlogNanos expected wait at the engines that process prompts, in nanoseconds
     */
    public Verdict decide(StartTerms terms, double backlogNanos) {
        mTargets.merge(terms.urgency(), terms.targetNanos(), Math::max);
        boolean isOverShare = mShares.isOverShare(terms.account());
        if (backlogNanos <= limitNanos(terms.urgency(), isOverShare)) {
            return Verdict.START;
        }
        boolean isDrawn = Long.remainderUnsigned(terms.hash(), DRAW_INTERVAL) == 0;
        return isDrawn && backlogNanos <= limitNanos(mTargets.firstKey(), false)
                ? Verdict.START_FIRST
                : Verdict.REFUSE;
    }

    private double limitNanos(int urgency, boolean isOverShare) {
        int lessUrgent = mTargets.tailMap(urgency, false).size();
        double fraction = Math.min(MAX_FRACTION, BACKLOG_FRACTION + FRACTION_STEP * lessUrgent);
        return patienceNanos(urgency) * (isOverShare ? fraction - OVER_SHARE_STEP : fraction);
    }

    /**
     * Returns the patience for the longest target among requests of this and of less urgency: a
     * less urgent kind with a longer target must not be sent at a backlog at which a more urgent
     * one is turned away.
     */
    private double patienceNanos(int urgency) {
        double target = 0;
        for (Map.Entry<Integer, Double> known : mTargets.tailMap(urgency).entrySet()) {
            target = Math.max(target, known.getValue());
        }
        return Math.max(MIN_PATIENCE_NANOS, PATIENCE_TARGETS * target);
    }
}
