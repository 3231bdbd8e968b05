package org.sesamedeck.routing;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * Changes the role of an engine when the additional work that the new roles serve is worth more
 * than the cost of the change.
 *
 * <p>The demand for prefill and for decode is expressed in engines. For given role counts, the work
 * served equals the demand, or less when one phase has too few engines; some headroom is required,
 * because latency goals are missed before an engine is full. A change is evaluated by the work
 * served under the forecast demand and under the prefill/decode mixes of the last minutes: roles
 * that fit only the current mix are worth less when the mix fluctuates. The higher the weight of
 * role changes, the more the past mixes count. Engines are not changed to the mixed role: in the
 * experiment, fleets that drifted to many mixed engines had a goodput of 0.7 of the offline
 * optimum, against 0.9 with prefill and decode engines only.
 *
 * <p>The gain counts over a limited time and must exceed, by a margin, the work that is not served
 * while the engine is out of service, plus the cost (time out of service and the lost prefix cache)
 * times the weight. A minimum dwell time and a limit on concurrent changes bound the number of
 * changes even when the estimates are wrong. A second change may begin during another one only if
 * the remaining engines still provide the engine time that the plans are owed.
 */
public final class DefaultRolePlanner implements RolePlanner {
    /**
     * Required ratio of capacity to demand; queues grow steeply when engines run closer to
     * saturation.
     */
    private static final double REQUIRED_HEADROOM = 1.1;

    /** Time within which the queued prompts are to be processed. */
    private static final double BACKLOG_SECONDS = 15;

    private static final double MIX_AVERAGING_SECONDS = 240;
    private static final double MAX_PAST_MIX_WEIGHT = 0.6;
    private static final double MIX_DEVIATIONS = 1.2;
    private static final int MAX_CONCURRENT_CHANGES = 2;

    private final Clock mClock;
    private final RolePlannerSettings mSettings;
    private final DemandForecast mPrefillForecast = new DemandForecast();
    private final DemandForecast mDecodeForecast = new DemandForecast();

    /** Mean of the mix, which is the fraction of the whole demand that is prefill. */
    private double mMeanMix = 0.5;

    private double mMixVariance;
    private double mMeanTotalDemand;
    private long mMixAtNanos;
    private boolean mHasMix;

    private DefaultRolePlanner(Clock clock, RolePlannerSettings settings) {
        mClock = clock;
        mSettings = settings;
    }

    /** Returns a planner that has seen no demand yet. */
    public static DefaultRolePlanner create(Clock clock, RolePlannerSettings settings) {
        return new DefaultRolePlanner(clock, settings);
    }

    @Override
    public Optional<RoleChange> plan(FleetSnapshot snapshot) {
        long now = mClock.nanoTime();
        long maxAge = mSettings.maxReportAge().toNanos();
        if (now - snapshot.demandObservedAtNanos() > maxAge) {
            return Optional.empty();
        }
        EngineRates rates = snapshot.rates();
        double prefill = snapshot.promptTokensPerSecond() / rates.prefillTokensPerSecond();
        double decode = snapshot.outputTokensPerSecond() / rates.decodeTokensPerSecond();
        mPrefillForecast.add(prefill, snapshot.demandObservedAtNanos());
        mDecodeForecast.add(decode, snapshot.demandObservedAtNanos());
        updateMix(prefill, decode, snapshot.demandObservedAtNanos());

        List<EngineSnapshot> usable =
                snapshot.engines().stream().filter(EngineSnapshot::isUsable).toList();
        long fresh =
                usable.stream().filter(engine -> now - engine.observedAtNanos() <= maxAge).count();
        long changing = snapshot.engines().stream().filter(EngineSnapshot::isChanging).count();
        if (usable.isEmpty()
                || fresh < mSettings.minimumFreshFraction() * usable.size()
                || changing >= MAX_CONCURRENT_CHANGES
                || changing > 0 && usable.size() - 1 < snapshot.owedEngines()) {
            return Optional.empty();
        }
        return bestChange(snapshot, usable, now);
    }

    private void updateMix(double prefill, double decode, long observedAtNanos) {
        double total = prefill + decode;
        if (total <= 0) {
            return;
        }
        double mix = prefill / total;
        if (!mHasMix) {
            mHasMix = true;
            mMeanMix = mix;
            mMeanTotalDemand = total;
            mMixAtNanos = observedAtNanos;
            return;
        }
        double seconds = Math.max(0, (observedAtNanos - mMixAtNanos) / 1e9);
        mMixAtNanos = observedAtNanos;
        double rate = 1 - Math.exp(-seconds / MIX_AVERAGING_SECONDS);
        double difference = mix - mMeanMix;
        mMeanMix += rate * difference;
        mMixVariance += rate * (difference * difference - mMixVariance);
        mMeanTotalDemand += rate * (total - mMeanTotalDemand);
    }

    private Optional<RoleChange> bestChange(
            FleetSnapshot snapshot, List<EngineSnapshot> usable, long now) {
        double backlog = 0;
        Map<EndpointRole, Integer> counts = new EnumMap<>(EndpointRole.class);
        for (EngineSnapshot engine : snapshot.engines()) {
            if (engine.isUsable() || engine.isChanging()) {
                counts.merge(engine.role(), 1, Integer::sum);
            }
            backlog += engine.queuedPromptTokens();
        }
        RoleCounts current =
                new RoleCounts(
                        counts.getOrDefault(EndpointRole.PREFILL, 0),
                        counts.getOrDefault(EndpointRole.DECODE, 0),
                        counts.getOrDefault(EndpointRole.MIXED, 0));
        double horizonSeconds = mSettings.forecastHorizon().toNanos() / 1e9;
        double prefill =
                mPrefillForecast.forecast(horizonSeconds)
                        + backlog / snapshot.rates().prefillTokensPerSecond() / BACKLOG_SECONDS;
        double decode = mDecodeForecast.forecast(horizonSeconds);
        double efficiency = snapshot.rates().mixedEfficiency();
        double before = expectedServedWork(current, prefill, decode, efficiency);
        double outOfServiceSeconds = mSettings.outOfServiceTime().toNanos() / 1e9;
        double weightedCost =
                (outOfServiceSeconds + mSettings.cacheLossCost().toNanos() / 1e9)
                        * mSettings.roleChangeWeight();
        RoleChange best = null;
        for (EndpointRole from : EndpointRole.values()) {
            Optional<EngineSnapshot> engine = leastLoaded(usable, from, now);
            if (engine.isEmpty()) {
                continue;
            }
            double lostWork =
                    before
                            - expectedServedWork(
                                    current.plus(from, -1), prefill, decode, efficiency);
            double cost = weightedCost + lostWork * outOfServiceSeconds;
            for (EndpointRole to : EndpointRole.values()) {
                RoleCounts candidate = current.plus(from, -1).plus(to, 1);
                if (to == from || to == EndpointRole.MIXED || !servesBothPhases(candidate)) {
                    continue;
                }
                double gain =
                        (expectedServedWork(candidate, prefill, decode, efficiency) - before)
                                * (mSettings.benefitHorizon().toNanos() / 1e9);
                if (gain > cost * (1 + mSettings.hysteresis())
                        && (best == null || gain > best.gain())) {
                    best = new RoleChange(engine.get().name(), from, to, gain, cost);
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean servesBothPhases(RoleCounts counts) {
        return counts.mixed() > 0 || counts.prefill() > 0 && counts.decode() > 0;
    }

    /**
     * Returns the controllable engine of the role with the least running work, which loses the
     * least by a change.
     */
    private Optional<EngineSnapshot> leastLoaded(
            List<EngineSnapshot> usable, EndpointRole role, long now) {
        return usable.stream()
                .filter(engine -> engine.role() == role && engine.isControllable())
                .filter(
                        engine ->
                                now - engine.observedAtNanos()
                                        <= mSettings.maxReportAge().toNanos())
                .filter(
                        engine ->
                                now - engine.roleSinceNanos() >= mSettings.minimumDwell().toNanos())
                .min(
                        Comparator.comparingInt(EngineSnapshot::runningRequests)
                                .thenComparingLong(EngineSnapshot::queuedPromptTokens)
                                .thenComparing(EngineSnapshot::name));
    }

    /** Returns the work served, in engines, averaged over the forecast mix and the past mixes. */
    private double expectedServedWork(
            RoleCounts counts, double prefill, double decode, double efficiency) {
        double pastWeight = MAX_PAST_MIX_WEIGHT * Math.min(1, mSettings.roleChangeWeight());
        double deviation = MIX_DEVIATIONS * Math.sqrt(mMixVariance);
        double total = Math.max(mMeanTotalDemand, prefill + decode);
        return (1 - pastWeight) * servedWork(counts, prefill, decode, efficiency)
                + pastWeight / 2 * servedWorkForMix(counts, mMeanMix - deviation, total, efficiency)
                + pastWeight
                        / 2
                        * servedWorkForMix(counts, mMeanMix + deviation, total, efficiency);
    }

    private static double servedWorkForMix(
            RoleCounts counts, double mix, double total, double efficiency) {
        double bounded = Math.max(0.02, Math.min(0.98, mix));
        return servedWork(counts, total * bounded, total * (1 - bounded), efficiency);
    }

    private static double servedWork(
            RoleCounts counts, double prefill, double decode, double efficiency) {
        double headroom = counts.headroom(prefill, decode, efficiency);
        return (prefill + decode) * Math.min(1, headroom / REQUIRED_HEADROOM);
    }
}
