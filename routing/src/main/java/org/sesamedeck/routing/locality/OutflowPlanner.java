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
 * Derives from the waits of all failure domains which part of the requests to one service may leave
 * this one.
 *
 * <p>The load pattern is a failure domain that has more work than its endpoints can do, for seconds
 * (a burst, a peak of the day, lost endpoints), while others have room. All processes of the domain
 * see each other's work a few hundred milliseconds late. If each request went to the shortest
 * queue, all of them would go to the same neighbors until the queues there are seen, and the
 * neighbors' requests would come back. The share that may leave is therefore a controlled variable:
 *
 * <ul>
 *   <li>It is proportional to the difference that moving work can even out (see {@link
 *       WaterLevel}), over a horizon that is several times as long as the delay of the loads, plus
 *       the sum of past differences, without which a lasting overload would keep a lasting wait.
 *   <li>A neighbor takes requests once its wait plus the way there is shorter than the wait at
 *       home, and no more when its wait alone is not shorter. Between two domains requests can thus
 *       move only to the one with the shorter wait, and the cost of the way is the hysteresis.
 *   <li>A neighbor whose own wait is longer than a bound takes nothing.
 * </ul>
 *
 * <p>All processes of a domain compute the same share as far as they know the same loads; there is
 * no leader. Not thread-safe.
 */
final class OutflowPlanner {
    /** Several times the age of the loads, so that moved work is seen before it is moved again. */
    private static final double HORIZON_NANOS = Duration.ofMillis(1_500).toNanos();

    /** Time in which a constant difference adds as much again to the share. */
    private static final double INTEGRAL_NANOS = Duration.ofMillis(1_500).toNanos();

    /** Time in which a share of 1 returns to 0 when no neighbor is better. */
    private static final double RETURN_NANOS = Duration.ofSeconds(2).toNanos();

    /** Time in which the share may rise from 0 to 1. */
    private static final double RISE_NANOS = Duration.ofMillis(1_000).toNanos();

    /** Decay time of the averages of the waits, which jump with each prompt. */
    private static final double SMOOTHING_NANOS = Duration.ofMillis(300).toNanos();

    /** After a longer gap the loads before it say nothing. */
    private static final long MAX_GAP_NANOS = Duration.ofSeconds(2).toNanos();

    /** A smaller share is not worth a sample of other endpoints. */
    private static final double MIN_SHARE = 0.01;

    private final Clock mClock;
    private final LocalitySettings mSettings;
    private final Map<String, Double> mWaits = new HashMap<>();
    private final Set<String> mOpen = new HashSet<>();
    private boolean mHasPlan;
    private long mPlannedAtNanos;
    private double mSum;
    private double mShare;

    OutflowPlanner(Clock clock, LocalitySettings settings) {
        mClock = clock;
        mSettings = settings;
    }

    /** A neighbor with its smoothed wait and the cost of the way there. */
    private record Neighbor(String domain, int endpoints, double waitNanos, double costNanos) {
        double levelNanos() {
            return waitNanos + costNanos;
        }

        WaterLevel.Basin basin() {
            return new WaterLevel.Basin(endpoints, levelNanos());
        }
    }

    /**
     * Returns the outflow under the present waits.
     *
     * @param pressures one entry for each failure domain; one without usable endpoints may be left
     *     out
     */
    DomainOutflow plan(List<DomainPressure> pressures) {
        long now = mClock.nanoTime();
        double elapsed = mHasPlan ? now - mPlannedAtNanos : 0;
        if (elapsed > MAX_GAP_NANOS) {
            forget();
            elapsed = 0;
        }
        mHasPlan = true;
        mPlannedAtNanos = now;
        smooth(pressures, elapsed);
        Optional<DomainPressure> home = home(pressures);
        List<Neighbor> neighbors = neighbors(pressures);
        return home.isPresent()
                ? share(home.get().endpoints(), neighbors, elapsed)
                : evacuate(neighbors);
    }

    private void forget() {
        mWaits.clear();
        mOpen.clear();
        mSum = 0;
        mShare = 0;
    }

    private void smooth(List<DomainPressure> pressures, double elapsed) {
        double rate = 1 - Math.exp(-elapsed / SMOOTHING_NANOS);
        Set<String> present = new HashSet<>();
        for (DomainPressure pressure : pressures) {
            if (pressure.endpoints() > 0) {
                String domain = pressure.location().failureDomain();
                present.add(domain);
                double before = mWaits.getOrDefault(domain, pressure.waitNanos());
                mWaits.put(domain, before + rate * (pressure.waitNanos() - before));
            }
        }
        mWaits.keySet().retainAll(present);
    }

    private Optional<DomainPressure> home(List<DomainPressure> pressures) {
        return pressures.stream()
                .filter(pressure -> pressure.endpoints() > 0)
                .filter(pressure -> distance(pressure) == DomainDistance.SAME_DOMAIN)
                .findFirst();
    }

    private DomainDistance distance(DomainPressure pressure) {
        return mSettings.location().distanceTo(pressure.location());
    }

    /** Returns the neighbors by rising level. */
    private List<Neighbor> neighbors(List<DomainPressure> pressures) {
        List<Neighbor> neighbors = new ArrayList<>();
        for (DomainPressure pressure : pressures) {
            if (pressure.endpoints() > 0 && distance(pressure) != DomainDistance.SAME_DOMAIN) {
                String domain = pressure.location().failureDomain();
                neighbors.add(
                        new Neighbor(
                                domain,
                                pressure.endpoints(),
                                mWaits.get(domain),
                                mSettings.cost(distance(pressure)).delayNanos()));
            }
        }
        neighbors.sort(
                Comparator.comparingDouble(Neighbor::levelNanos).thenComparing(Neighbor::domain));
        return neighbors;
    }

    private DomainOutflow share(int endpoints, List<Neighbor> neighbors, double elapsed) {
        double homeWait = mWaits.get(mSettings.location().failureDomain());
        List<Neighbor> accepting =
                neighbors.stream().filter(neighbor -> !isFull(neighbor)).toList();
        double level =
                WaterLevel.of(
                        new WaterLevel.Basin(endpoints, homeWait),
                        accepting.stream().map(Neighbor::basin).toList());
        moveShare((homeWait - level) / HORIZON_NANOS, elapsed);
        openAndClose(accepting, homeWait, level);
        List<Neighbor> open =
                accepting.stream().filter(neighbor -> mOpen.contains(neighbor.domain())).toList();
        return outflow(open, homeWait);
    }

    private boolean isFull(Neighbor neighbor) {
        return neighbor.waitNanos() >= mSettings.fullWaitNanos();
    }

    /**
     * Moves the share towards the one that the difference of the waits calls for.
     *
     * @param difference difference that can be evened out, in horizons
     */
    private void moveShare(double difference, double elapsed) {
        if (difference > 0) {
            mSum = Math.min(1, mSum + difference * elapsed / INTEGRAL_NANOS);
        } else {
            mSum = Math.max(0, mSum - elapsed / RETURN_NANOS);
        }
        double wanted = Math.min(1, difference + mSum);
        double highest = mShare + elapsed / RISE_NANOS;
        double lowest = mShare - elapsed / RETURN_NANOS;
        mShare = Math.max(lowest, Math.min(highest, wanted));
    }

    private void openAndClose(List<Neighbor> accepting, double homeWait, double level) {
        Set<String> lower = new HashSet<>();
        for (Neighbor neighbor : accepting) {
            if (neighbor.levelNanos() < level) {
                mOpen.add(neighbor.domain());
            }
            if (neighbor.waitNanos() < homeWait) {
                lower.add(neighbor.domain());
            }
        }
        mOpen.retainAll(lower);
    }

    private DomainOutflow outflow(List<Neighbor> open, double homeWait) {
        if (open.isEmpty() || mShare < MIN_SHARE) {
            return DomainOutflow.none(homeWait);
        }
        return DomainOutflow.of(mShare, costs(open), homeWait);
    }

    private static Map<String, Double> costs(List<Neighbor> neighbors) {
        Map<String, Double> costs = new TreeMap<>();
        neighbors.forEach(neighbor -> costs.put(neighbor.domain(), neighbor.costNanos()));
        return costs;
    }

    /**
     * Returns the outflow of a domain without endpoints: everything goes to the nearest neighbors,
     * and to farther ones once their wait is shorter by more than the way.
     */
    private DomainOutflow evacuate(List<Neighbor> neighbors) {
        mSum = 1;
        mShare = 1;
        mOpen.clear();
        List<Neighbor> accepting =
                neighbors.stream().filter(neighbor -> !isFull(neighbor)).toList();
        List<Neighbor> candidates = accepting.isEmpty() ? neighbors : accepting;
        double nearestCost = candidates.stream().mapToDouble(Neighbor::costNanos).min().orElse(0);
        double nearestLevel =
                candidates.stream()
                        .filter(neighbor -> neighbor.costNanos() <= nearestCost)
                        .mapToDouble(Neighbor::levelNanos)
                        .min()
                        .orElse(0);
        List<Neighbor> open =
                candidates.stream()
                        .filter(
                                neighbor ->
                                        neighbor.costNanos() <= nearestCost
                                                || neighbor.levelNanos() < nearestLevel)
                        .toList();
        open.forEach(neighbor -> mOpen.add(neighbor.domain()));
        return outflow(open, Double.POSITIVE_INFINITY);
    }
}
