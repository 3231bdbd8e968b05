package org.sesamedeck.routing.locality;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.sesamedeck.core.Clock;

/**
 * Derives from the loads of all failure domains which part of the requests to one service may leave
 * this one.
 *
 * <p>The load pattern is a failure domain that has more work than its endpoints can do, for seconds
 * (a burst, a peak of the day, lost endpoints), while others have room. All processes of the domain
 * see each other's work a few hundred milliseconds late. If each request went to the shortest
 * queue, all of them would go to the same neighbors until the queues there are seen, and the
 * neighbors' requests would come back. A share that follows the waits oscillates for the same
 * reason as soon as it is fast enough for a burst.
 *
 * <ul>
 *   <li>The share therefore follows the load that the domain's requests bring, which does not
 *       depend on the share: the domain keeps most of what its endpoints can do, or more if the
 *       others have more, too. The wait at home that moving work can balance (see {@link
 *       BalancedWait}) is sent away in addition, over a time that is several times as long as the
 *       age of the loads.
 *   <li>A neighbor takes requests once its wait plus the link cost is shorter than the wait at
 *       home, and no more when its wait alone is not shorter. Between two domains requests can thus
 *       move only to the one with the shorter wait, and the link cost is the hysteresis.
 *   <li>A neighbor whose own wait is longer than a bound takes nothing.
 * </ul>
 *
 * <p>All processes of a domain compute the same share as far as they know the same loads; there is
 * no leader. Not thread-safe.
 */
final class OutflowPlanner {
    /** Several times the age of the loads, so that moved work is seen before it is moved again. */
    private static final double BALANCING_NANOS = Duration.ofMillis(1_500).toNanos();

    /**
     * Load of the endpoints, as a multiple of what they can do, beyond which requests leave if
     * others have room. The wait in a domain of few endpoints grows fast near 1.
     */
    private static final double KEPT_LOAD = 0.85;

    /** Time in which the share may rise from 0 to 1. */
    private static final double RISE_NANOS = Duration.ofMillis(300).toNanos();

    /** Time in which the share may return from 1 to 0. */
    private static final double RETURN_NANOS = Duration.ofMillis(1_000).toNanos();

    /** The loads before a longer gap say nothing. */
    private static final long MAX_GAP_NANOS = Duration.ofSeconds(2).toNanos();

    /** A smaller share is not worth a sample of other endpoints. */
    private static final double MIN_SHARE = 0.01;

    private static final double MIN_OFFERED = 0.01;

    private final Clock mClock;
    private final LocalitySettings mSettings;
    private final Map<Set<String>, DomainTrend> mTrends = new HashMap<>();
    private final Set<Set<String>> mOpen = new HashSet<>();
    private RetainedFraction mRetained = new RetainedFraction();
    private boolean mHasPlan;
    private long mPlannedAtNanos;
    private double mShare;

    OutflowPlanner(Clock clock, LocalitySettings settings) {
        mClock = clock;
        mSettings = settings;
    }

    /** A neighbor with the cost of the link there. */
    private record Neighbor(DomainGroup group, DomainTrend trend, double costNanos) {
        double waitAndCostNanos() {
            return trend.waitNanos() + costNanos;
        }

        BalancedWait.DomainWait domainWait() {
            return new BalancedWait.DomainWait(trend.endpoints(), waitAndCostNanos());
        }
    }

    /**
     * Returns the outflow under the present loads; empty if the domain and its region have too few
     * endpoints to keep requests there.
     *
     * @param pressures one entry for each failure domain that has endpoints, usable or not
     */
    Optional<DomainOutflow> plan(List<DomainPressure> pressures) {
        long now = mClock.nanoTime();
        double elapsed = elapsed(now);
        mHasPlan = true;
        mPlannedAtNanos = now;
        List<DomainGroup> groups = DomainGroup.of(pressures);
        observe(groups, elapsed);
        mRetained.record(now, mOpen.isEmpty() ? 0 : mShare, elapsed);
        List<Neighbor> neighbors = neighbors(groups);
        Optional<DomainGroup> home =
                groups.stream()
                        .filter(group -> distance(group) == DomainDistance.SAME_DOMAIN)
                        .findFirst();
        if (home.isEmpty()) {
            return Optional.of(withoutHome(neighbors));
        }
        return home.filter(group -> group.endpoints() >= DomainGroup.MIN_ENDPOINTS)
                .map(group -> share(group, neighbors, elapsed));
    }

    private DomainDistance distance(DomainGroup group) {
        return group.distanceTo(mSettings.location());
    }

    private double elapsed(long now) {
        long elapsed = mHasPlan ? now - mPlannedAtNanos : 0;
        if (elapsed > MAX_GAP_NANOS) {
            forget();
            return 0;
        }
        return elapsed;
    }

    private void forget() {
        mTrends.clear();
        mOpen.clear();
        mRetained = new RetainedFraction();
        mShare = 0;
    }

    private void observe(List<DomainGroup> groups, double elapsed) {
        for (DomainGroup group : groups) {
            mTrends.computeIfAbsent(group.domains(), any -> new DomainTrend())
                    .observe(group, elapsed);
        }
        mTrends.keySet().retainAll(groups.stream().map(DomainGroup::domains).toList());
    }

    /** Returns the neighbors by rising wait and cost. */
    private List<Neighbor> neighbors(List<DomainGroup> groups) {
        List<Neighbor> neighbors = new ArrayList<>();
        for (DomainGroup group : groups) {
            DomainDistance distance = distance(group);
            if (distance != DomainDistance.SAME_DOMAIN) {
                neighbors.add(
                        new Neighbor(
                                group,
                                mTrends.get(group.domains()),
                                mSettings.cost(distance).delayNanos()));
            }
        }
        // Stable: groups of the same cost keep the order of their regions and domains.
        neighbors.sort(Comparator.comparingDouble(Neighbor::waitAndCostNanos));
        return neighbors;
    }

    private DomainOutflow share(DomainGroup group, List<Neighbor> neighbors, double elapsed) {
        DomainTrend home = mTrends.get(group.domains());
        List<Neighbor> accepting =
                neighbors.stream().filter(neighbor -> !isFull(neighbor)).toList();
        double balancedWait =
                BalancedWait.of(
                        new BalancedWait.DomainWait(home.endpoints(), home.waitNanos()),
                        accepting.stream().map(Neighbor::domainWait).toList());
        double excess = (home.waitNanos() - balancedWait) / BALANCING_NANOS;
        double kept = sustainable(home, accepting) - excess;
        double offered = Math.max(MIN_OFFERED, home.inflow() / mRetained.fraction());
        moveShare(accepting.isEmpty() ? 0 : 1 - kept / offered, elapsed);
        openAndClose(accepting, home.waitNanos(), balancedWait);
        List<Neighbor> open =
                accepting.stream()
                        .filter(neighbor -> mOpen.contains(neighbor.group().domains()))
                        .toList();
        return outflow(group.domains(), open, home.waitNanos());
    }

    private boolean isFull(Neighbor neighbor) {
        return neighbor.trend().waitNanos() >= mSettings.fullWaitNanos();
    }

    /**
     * Returns the load that the domain should keep, as a multiple of what its endpoints can do. It
     * is beyond the usual one only if the neighbors have more, too.
     */
    private static double sustainable(DomainTrend home, List<Neighbor> neighbors) {
        double inflow = home.inflow() * home.endpoints();
        double endpoints = home.endpoints();
        for (Neighbor neighbor : neighbors) {
            inflow += neighbor.trend().inflow() * neighbor.trend().endpoints();
            endpoints += neighbor.trend().endpoints();
        }
        return Math.max(KEPT_LOAD, inflow / endpoints);
    }

    private void moveShare(double wanted, double elapsed) {
        double highest = mShare + elapsed / RISE_NANOS;
        double lowest = mShare - elapsed / RETURN_NANOS;
        double share = Math.max(lowest, Math.min(highest, wanted));
        mShare = Math.max(0, Math.min(1, share));
    }

    private void openAndClose(List<Neighbor> accepting, double homeWait, double balancedWait) {
        Set<Set<String>> lower = new HashSet<>();
        for (Neighbor neighbor : accepting) {
            if (neighbor.waitAndCostNanos() < balancedWait) {
                mOpen.add(neighbor.group().domains());
            }
            if (neighbor.trend().waitNanos() < homeWait) {
                lower.add(neighbor.group().domains());
            }
        }
        mOpen.retainAll(lower);
    }

    private DomainOutflow outflow(Set<String> home, List<Neighbor> open, double homeWait) {
        if (mShare < MIN_SHARE) {
            return DomainOutflow.none(home, homeWait);
        }
        Map<String, Double> costs = new TreeMap<>();
        for (Neighbor neighbor : open) {
            neighbor.group().domains().forEach(domain -> costs.put(domain, neighbor.costNanos()));
        }
        return new DomainOutflow(mShare, home, Map.copyOf(costs), homeWait);
    }

    /**
     * Returns the outflow of a domain without endpoints: everything goes to the nearest neighbors,
     * and to farther ones once their wait is shorter by more than the link cost.
     */
    private DomainOutflow withoutHome(List<Neighbor> neighbors) {
        mShare = 1;
        mOpen.clear();
        List<Neighbor> accepting =
                neighbors.stream().filter(neighbor -> !isFull(neighbor)).toList();
        List<Neighbor> candidates = accepting.isEmpty() ? neighbors : accepting;
        double nearestCost = candidates.stream().mapToDouble(Neighbor::costNanos).min().orElse(0);
        double nearestWait =
                candidates.stream()
                        .filter(neighbor -> neighbor.costNanos() <= nearestCost)
                        .mapToDouble(Neighbor::waitAndCostNanos)
                        .min()
                        .orElse(0);
        List<Neighbor> open =
                candidates.stream()
                        .filter(
                                neighbor ->
                                        neighbor.costNanos() <= nearestCost
                                                || neighbor.waitAndCostNanos() < nearestWait)
                        .toList();
        open.forEach(neighbor -> mOpen.add(neighbor.group().domains()));
        return outflow(Set.of(), open, Double.POSITIVE_INFINITY);
    }
}
