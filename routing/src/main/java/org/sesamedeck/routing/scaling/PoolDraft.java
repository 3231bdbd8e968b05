package org.sesamedeck.routing.scaling;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Counts of servers by pool that the planner changes one server at a time. */
final class PoolDraft {
    private static final Comparator<ServerPool> BY_NAME =
            Comparator.comparing(ServerPool::failureDomain)
                    .thenComparing(ServerPool::isReclaimable);

    private final ScalingTerms mTerms;
    private final Map<ServerPool, Integer> mCounts = new TreeMap<>(BY_NAME);
    private final Set<String> mDomains;

    PoolDraft(ScalingTerms terms, Set<String> domains) {
        mTerms = terms;
        mDomains = new LinkedHashSet<>(domains);
    }

    void set(ServerPool pool, int count) {
        mCounts.put(pool, count);
    }

    int in(ServerPool pool) {
        return mCounts.getOrDefault(pool, 0);
    }

    private int inDomain(String domain) {
        return in(new ServerPool(domain, false)) + in(new ServerPool(domain, true));
    }

    int domains() {
        return mDomains.size();
    }

    int total() {
        return mCounts.values().stream().mapToInt(Integer::intValue).sum();
    }

    int of(boolean isReclaimable) {
        return mDomains.stream()
                .mapToInt(domain -> in(new ServerPool(domain, isReclaimable)))
                .sum();
    }

    /** Returns the most servers that a single domain can lose at once. */
    int largestReclaimable() {
        return mDomains.stream()
                .mapToInt(domain -> in(new ServerPool(domain, true)))
                .max()
                .orElse(0);
    }

    /**
     * Returns the price of one more server with the risk of its domain. The risk grows with the
     * square of the servers there, as more callers are then hit at once: a third in price moves a
     * fifth of the servers and not half of them.
     */
    private double marginalPrice(ServerPool pool) {
        double evenShare = Math.max(1, total() / (double) Math.max(1, mDomains.size()));
        double concentration = 1 + inDomain(pool.failureDomain()) / evenShare;
        return mTerms.price(pool) * concentration * concentration;
    }

    /**
     * Adds a server of a kind where it costs least; returns whether there is such a pool. A domain
     * below its minimum gets as many as it lacks, since the platform accepts no smaller order.
     */
    boolean addCheapest(boolean isReclaimable, Predicate<ServerPool> isAvailable) {
        Optional<ServerPool> cheapest =
                mDomains.stream()
                        .filter(domain -> inDomain(domain) < mTerms.maximum())
                        .map(domain -> new ServerPool(domain, isReclaimable))
                        .filter(isAvailable)
                        .min(
                                Comparator.comparingDouble(this::marginalPrice)
                                        .thenComparing(BY_NAME));
        cheapest.ifPresent(
                pool -> {
                    int lacking = mTerms.minimum() - inDomain(pool.failureDomain());
                    mCounts.merge(pool, Math.max(1, lacking), Integer::sum);
                });
        return cheapest.isPresent();
    }

    /** Removes a server of a kind where it costs most; returns its pool. */
    Optional<ServerPool> removeMostExpensive(
            boolean isReclaimable, Predicate<ServerPool> isAllowed) {
        Optional<ServerPool> mostExpensive =
                mDomains.stream()
                        .filter(domain -> inDomain(domain) > mTerms.minimum())
                        .map(domain -> new ServerPool(domain, isReclaimable))
                        .filter(pool -> in(pool) > 0)
                        .filter(isAllowed)
                        .max(
                                Comparator.comparingDouble(this::marginalPrice)
                                        .thenComparing(BY_NAME));
        mostExpensive.ifPresent(pool -> mCounts.merge(pool, -1, Integer::sum));
        return mostExpensive;
    }
}
