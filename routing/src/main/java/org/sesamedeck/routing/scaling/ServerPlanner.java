package org.sesamedeck.routing.scaling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides how many servers of which kind a service shall have in which failure domain. Without
 * input and output; one process decides for the fleet.
 *
 * <p>The need comes from the callers' load alone; prices decide only of which kind the servers are
 * and where they stand. Servers that may be reclaimed are preferred where they are cheaper, under
 * two conditions. After the loss of any one domain's reclaimable servers, which the platform takes
 * away all at once, enough must remain to carry the load until others have started; and a few
 * ordinary servers stay in any case, since several domains may be lost in a row while none are to
 * be had. The first condition spreads reclaimable servers over domains, as does the marginal price
 * of {@link PoolDraft}.
 *
 * <p>The plan is a change of what is there and not a layout to be reached: servers are added while
 * some are missing, and given back only out of those that serve beyond the need. Ordinary servers
 * are thus replaced step by step, each given back after its replacement serves, and a refusal or a
 * late order leaves more servers than needed for a while and never fewer. The loads answered are
 * the wave of a day, which {@link LoadForecast} flattens, the burst, which raises the need at once,
 * and the loss of a domain, which shows as missing servers.
 */
public final class ServerPlanner {
    /** Fraction of the need that must remain after the loss of a domain's reclaimable servers. */
    private static final double REMAINING_FRACTION = 0.75;

    /** Bounds the reclaimable servers beyond the need that make up for a possible loss. */
    private static final double MAX_RESERVE = 1.5;

    /** Domains without reclaimable servers from which on missing servers are ordinary ones. */
    private static final int SCARCE_DOMAINS = 2;

    private static final double ORDINARY_FRACTION = 0.1;
    private static final int MIN_ORDINARY = 2;

    /**
     * Fraction of the servers that start at the same time as replacements. All processes read each
     * change of the endpoint table, so changes come in few and large steps.
     */
    private static final double STEP_FRACTION = 0.5;

    /** Shortage that is left alone, as a fraction of the need. */
    private static final double TOLERATED_SHORTAGE = 0.1;

    /** Fraction of the servers that are given back at the same time: their caches are lost. */
    private static final double GIVE_BACK_FRACTION = 0.25;

    /** Surplus of the cheaper kind that is kept, so that no server is given back at each swing. */
    private static final double KEPT_SURPLUS = 0.15;

    private static final int MIN_KEPT_SURPLUS = 2;

    private final ScalingTerms mTerms;
    private final OrderLedger mLedger;
    private final ServerNeed mNeed;
    private final int mNeeded;
    private final ServerCounts mCounts;
    private final PoolDraft mExpected;
    private final PoolDraft mStaying;

    private ServerPlanner(
            ScalingTerms terms, OrderLedger ledger, ServerNeed need, ServerCounts counts) {
        mTerms = terms;
        mLedger = ledger;
        mNeed = need;
        mNeeded = need.total();
        mCounts = counts;
        Set<ServerPool> pools = pools(terms, ledger, counts);
        Set<String> domains = new LinkedHashSet<>();
        pools.forEach(pool -> domains.add(pool.failureDomain()));
        mExpected = new PoolDraft(terms, domains);
        mStaying = new PoolDraft(terms, domains);
        for (ServerPool pool : pools) {
            mExpected.set(pool, ledger.expected(pool, counts.in(pool)));
            mStaying.set(pool, ledger.staying(pool, counts.in(pool)));
        }
    }

    private static Set<ServerPool> pools(
            ScalingTerms terms, OrderLedger ledger, ServerCounts counts) {
        Set<ServerPool> pools = new LinkedHashSet<>(counts.pools());
        pools.addAll(ledger.pending());
        for (String domain : terms.domainPrices().keySet()) {
            pools.add(new ServerPool(domain, false));
            pools.add(new ServerPool(domain, true));
        }
        return pools;
    }

    /** Returns the plan for one service. */
    public static ServerPlan plan(
            ScalingTerms terms, OrderLedger ledger, ServerNeed need, ServerCounts counts) {
        return new ServerPlanner(terms, ledger, need, counts).plan();
    }

    private ServerPlan plan() {
        int expected = mExpected.total();
        int serving = mStaying.total();
        Set<ServerPool> pools = pools(mTerms, mLedger, mCounts);
        grow();
        List<ServerPlan.PoolOrder> orders = new ArrayList<>();
        Set<ServerPool> grown = new LinkedHashSet<>();
        for (ServerPool pool : pools) {
            int present = mCounts.in(pool);
            if (mExpected.in(pool) > mLedger.expected(pool, present)) {
                grown.add(pool);
                orders.add(new ServerPlan.PoolOrder(pool, present, mExpected.in(pool)));
            }
        }
        giveBack(grown);
        for (ServerPool pool : pools) {
            int present = mCounts.in(pool);
            if (mStaying.in(pool) < mLedger.staying(pool, present)) {
                orders.add(new ServerPlan.PoolOrder(pool, present, mStaying.in(pool)));
            }
        }
        return new ServerPlan(mNeed, serving, expected, List.copyOf(orders));
    }

    private int ordinaryGoal() {
        int least = Math.max(MIN_ORDINARY, (int) Math.ceil(mNeeded * ORDINARY_FRACTION));
        return mTerms.offersReclaimable() ? Math.min(mNeeded, least) : mNeeded;
    }

    private int remainingNeed() {
        return (int) Math.ceil(mNeeded * REMAINING_FRACTION);
    }

    /** Servers beyond the need that are kept, so that no swing orders and gives back in turn. */
    private int keptSurplus() {
        return Math.max(MIN_KEPT_SURPLUS, (int) (mNeeded * KEPT_SURPLUS));
    }

    private void grow() {
        int starting = Math.max(0, mExpected.total() - mStaying.total());
        int shortage = mNeeded - mExpected.total();
        int step = Math.max(1, (int) (mNeeded * (mNeed.isIdle() ? 1 : STEP_FRACTION))) - starting;
        boolean isTolerated = shortage > 0 && shortage < mNeeded * TOLERATED_SHORTAGE;
        int budget = isTolerated ? 0 : Math.max(step, shortage);
        for (int added = 0; added < budget; added++) {
            if (!addOne()) {
                return;
            }
        }
    }

    private boolean addOne() {
        boolean isShort = mExpected.total() < mNeeded;
        boolean isAdded =
                mTerms.offersReclaimable()
                        && lacksReclaimable()
                        && !(isShort && isReclaimableScarce())
                        && mExpected.addCheapest(true, this::isAvailable);
        // Without the cheaper kind, the need is met by the other one.
        return isAdded || (isShort && mExpected.addCheapest(false, this::isAvailable));
    }

    /**
     * Returns whether several domains have no reclaimable servers. The others then mostly have none
     * either, and to ask each of them would leave callers short for seconds.
     */
    private boolean isReclaimableScarce() {
        return mLedger.unavailable().stream().filter(ServerPool::isReclaimable).count()
                >= SCARCE_DOMAINS;
    }

    /** Returns whether more reclaimable servers are wanted once ordinary ones are given back. */
    private boolean lacksReclaimable() {
        int reclaimable = mExpected.of(true);
        int missingAfterLoss = remainingNeed() - (reclaimable - mExpected.largestReclaimable());
        int ordinary = Math.min(mExpected.of(false), Math.max(ordinaryGoal(), missingAfterLoss));
        int total = ordinary + reclaimable;
        // A reserve in other domains costs less than the ordinary servers that it replaces.
        boolean isReserveUseful = mExpected.domains() > 1 && missingAfterLoss > ordinaryGoal();
        return total < mNeeded || (isReserveUseful && total < mNeeded * MAX_RESERVE);
    }

    private boolean isAvailable(ServerPool pool) {
        boolean isShrinking = mLedger.staying(pool, mCounts.in(pool)) < mCounts.in(pool);
        return !isShrinking && !mLedger.isUnavailable(pool);
    }

    private void giveBack(Set<ServerPool> grown) {
        int leaving = mCounts.total() - mStaying.total();
        double fraction = mNeed.isIdle() ? 1 : GIVE_BACK_FRACTION;
        int budget = Math.max(1, (int) (mCounts.total() * fraction)) - leaving;
        int kept = keptSurplus();
        boolean isLargeSurplus = mNeed.isLoadKnown() && mStaying.total() > mNeeded + kept;
        // Half of the surplus stays, so that the next swing orders nothing.
        int goal = isLargeSurplus ? mNeeded + kept / 2 : mStaying.total();
        for (int removed = 0; removed < budget; removed++) {
            if (!removeOne(grown, goal)) {
                return;
            }
        }
    }

    private boolean removeOne(Set<ServerPool> grown, int goal) {
        int total = mStaying.total();
        boolean isReplaced =
                mTerms.offersReclaimable()
                        && mStaying.of(false) > ordinaryGoal()
                        && total > mNeeded;
        if (isReplaced) {
            return removeIfEnoughRemain(false, grown);
        }
        return total > goal && removeIfEnoughRemain(mTerms.offersReclaimable(), grown);
    }

    /**
     * Removes a server unless too few would remain after the loss of a domain. With few domains the
     * reserve for that loss is all that stays beyond the need, and a swing of the need would order
     * again what is given back of it, so the tolerated surplus is kept there, too.
     */
    private boolean removeIfEnoughRemain(boolean isReclaimable, Set<ServerPool> grown) {
        Optional<ServerPool> removed =
                mStaying.removeMostExpensive(isReclaimable, pool -> isRemovable(pool, grown));
        int largest = mStaying.largestReclaimable();
        boolean isReserve = isReclaimable && remainingNeed() + largest > mNeeded;
        int kept = isReserve ? keptSurplus() : 0;
        boolean isEnough = mStaying.total() - largest >= remainingNeed() + kept;
        if (!isEnough) {
            removed.ifPresent(pool -> mStaying.set(pool, mStaying.in(pool) + 1));
        }
        return isEnough && removed.isPresent();
    }

    /** An order for fewer servers would also cancel those of the pool that are starting. */
    private boolean isRemovable(ServerPool pool, Set<ServerPool> grown) {
        return !grown.contains(pool)
                && mLedger.expected(pool, mCounts.in(pool)) <= mCounts.in(pool);
    }
}
