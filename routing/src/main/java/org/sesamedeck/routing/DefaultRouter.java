package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.sesamedeck.core.Clock;
import org.sesamedeck.routing.locality.DomainOutflows;

/**
 * Chooses the best of a few endpoints sampled at random.
 *
 * <p>Several routers decide concurrently from the same delayed load reports. If each took the
 * endpoint with the lowest reported load, all of them would take the same one until the next report
 * (a thundering herd), and its queue would grow by the sum of their traffic. Two measures prevent
 * this. A decision compares only a few endpoints of each role, sampled at random, so different
 * routers compare different endpoints and the one with the lowest load receives a bounded part of
 * the traffic. And each router adds to the reported load its own work since the report, and its own
 * prompts of the last second even when they are done: the other routers saw the same report and
 * probably did the same. Between reports this spreads the work evenly, as round robin does.
 * Comparing all endpoints would be slightly better with a single router and fresh reports, but
 * deployments have several routers and delayed reports.
 *
 * <p>The cost of an endpoint is the expected wait, plus the prefill time of the prompt without the
 * prefix that the endpoint probably holds, plus the decode time of the response under the
 * endpoint's current batch, plus the cost of traffic between regions, plus a fraction of the
 * mismatched phase's time when the endpoint has the other role. Holders of the longest known prefix
 * are always compared in addition to the sample; they are chosen only if the time saved exceeds
 * their longer queue, so a popular prefix is replicated to further endpoints as load grows.
 */
public final class DefaultRouter implements Router, CapacityView {
    private static final int PREFIX_CAPACITY = 65_536;

    private final Clock mClock;
    private final EngineTimeEstimator mEstimator;
    private final RouterSettings mSettings;
    private final RendezvousSubset mSubset;
    private final SplittableRandom mRandom;
    private final PrefixIndex mPrefixes = PrefixIndex.create(PREFIX_CAPACITY);
    private final PrefixUpdateBuffer mPrefixUpdates = new PrefixUpdateBuffer();
    private final EndpointExclusions mExclusions;
    private final EngineMemory mMemory = new EngineMemory();
    private final LocalityRule mLocality;
    private final EndpointComparison mComparison;
    private final EndpointStates mStates;
    private volatile int mProcesses = 1;
    private volatile EndpointTable mTable = EndpointTable.empty();

    private DefaultRouter(
            Clock clock,
            RouterSettings settings,
            EngineTimeEstimator estimator,
            SpeedEstimate.Factory speeds,
            String name,
            long seed) {
        mClock = clock;
        mEstimator = estimator;
        mSettings = settings;
        mSubset = RendezvousSubset.of(name, settings);
        mRandom = new SplittableRandom(seed);
        mLocality = LocalityRule.of(clock, settings, seed);
        mComparison = new EndpointComparison(settings, mPrefixes, mMemory, mLocality);
        mExclusions =
                new EndpointExclusions(
                        clock, settings.traits().rolesAreStrict(), mRandom.nextLong());
        mStates = new EndpointStates(clock, settings, speeds, mPrefixes, mExclusions, ~seed);
    }

    /**
     * Returns a router without endpoints.
     *
     * @param name name of this process, which determines its subset
     * @param seed seed of the sampling; routers of different processes need different seeds
     */
    public static DefaultRouter create(
            Clock clock, RouterSettings settings, String name, long seed) {
        return create(clock, settings, EngineTimeEstimator.create(), name, seed);
    }

    /**
     * Returns a router without endpoints.
     *
     * @param estimator learns the engine time of tokens from the responses that the router observes
     * @param name name of this process, which determines its subset
     * @param seed seed of the sampling; routers of different processes need different seeds
     */
    public static DefaultRouter create(
            Clock clock,
            RouterSettings settings,
            EngineTimeEstimator estimator,
            String name,
            long seed) {
        return new DefaultRouter(
                clock, settings, estimator, () -> new LearnedSpeed(clock), name, seed);
    }

    /** Returns a router without endpoints that estimates their speed in another way. */
    static DefaultRouter create(
            Clock clock,
            RouterSettings settings,
            SpeedEstimate.Factory speeds,
            String name,
            long seed) {
        return new DefaultRouter(clock, settings, EngineTimeEstimator.create(), speeds, name, seed);
    }

    /** Returns the index of prompt prefixes, which cache events of engines may correct. */
    public PrefixIndex prefixes() {
        return mPrefixes;
    }

    @Override
    public Optional<Assignment> choose(RequestProfile profile, Set<String> excluded) {
        return choosePhase(profile, RequestPhase.WHOLE, excluded);
    }

    @Override
    public Optional<Assignment> choosePhase(
            RequestProfile profile, RequestPhase phase, Set<String> excluded) {
        return choosePhase(profile, phase, excluded, Set.of());
    }

    @Override
    public Optional<Assignment> choosePhase(
            RequestProfile profile, RequestPhase phase, Set<String> excluded, Set<String> avoided) {
        EndpointTable table = mTable;
        Set<String> unusable = LossAvoidance.union(excluded, avoided);
        while (true) {
            EndpointChoice choice = compare(table, profile, phase, unusable, !excluded.isEmpty());
            EndpointState best = choice.best();
            if (best == null) {
                return Optional.empty();
            }
            // Another thread may have acquired the only probe meanwhile; the next iteration sees
            // that.
            if (best.breaker().tryAcquire()) {
                return Optional.of(
                        new RoutedAssignment(
                                mClock,
                                mPrefixes,
                                mPrefixUpdates,
                                mEstimator,
                                profile,
                                best,
                                phase,
                                choice.bestUncachedTokens()));
            }
        }
    }

    @Override
    public OptionalLong expectedStartNanos(RequestProfile profile, RequestPhase phase) {
        return expectedStartNanos(
                compare(mTable, profile, phase, suspected(profile, phase), false));
    }

    private OptionalLong expectedStartNanos(EndpointChoice choice) {
        EndpointState best = choice.best();
        if (best == null) {
            return OptionalLong.empty();
        }
        double prompt = choice.bestUncachedTokens() * best.prefillNanosPerToken();
        return OptionalLong.of((long) (best.expectedWaitNanos(mProcesses) + prompt));
    }

    @Override
    public RoutingExplanation explain(
            RequestProfile profile, RequestPhase phase, Set<String> excluded) {
        EndpointTable table = mTable;
        ExplanationRecorder recorder = new ExplanationRecorder();
        // Draws from a generator of its own, so that it changes no later choice.
        SplittableRandom random = new SplittableRandom(mClock.nanoTime());
        EndpointChoice choice =
                mComparison.compare(
                        table,
                        mProcesses,
                        profile,
                        phase,
                        excluded,
                        false,
                        random::nextLong,
                        recorder);
        return recorder.explain(
                choice, table.candidates(profile.target()), expectedStartNanos(choice));
    }

    private EndpointChoice compare(
            EndpointTable table,
            RequestProfile profile,
            RequestPhase phase,
            Set<String> excluded,
            boolean isRepeated) {
        return mComparison.compare(
                table,
                mProcesses,
                profile,
                phase,
                excluded,
                isRepeated,
                this::nextRandom,
                ComparisonListener.NONE);
    }

    @Override
    public Optional<EndpointDescription> cacheSource(
            RequestProfile profile, EndpointDescription endpoint) {
        if (!mSettings.traits().fetchesCaches() || !profile.isModelRequest()) {
            return Optional.empty();
        }
        CacheSource source = CacheSource.find(mPrefixes, mTable, profile, Optional.of(endpoint));
        double own = mPrefixes.cachedFraction(endpoint.name(), profile.prefixHashes());
        return source.cachedFraction() > own ? source.endpoint() : Optional.empty();
    }

    @Override
    public DecodeCapacity decodeCapacity(RequestProfile profile) {
        if (mSettings.traits().tokenIntervalLimitNanos() <= 0 || !profile.isModelRequest()) {
            return DecodeCapacity.unlimited();
        }
        if (isOversized(profile) || mExclusions.areAllHeld(mTable.candidates(profile.target()))) {
            // The requests are refused at once instead of being queued.
            return DecodeCapacity.unlimited();
        }
        return EngineCapacity.decode(mTable.candidates(profile.target()));
    }

    @Override
    public synchronized void updateEndpoints(List<EndpointDescription> endpoints) {
        Map<String, EndpointState> known = new HashMap<>(mTable.states());
        mTable =
                EndpointTable.of(
                        endpoints,
                        mSubset,
                        endpoint -> mStates.of(endpoint, known.get(endpoint.name())));
    }

    @Override
    public void updateProcesses(int entries) {
        mProcesses = Math.max(1, entries);
    }

    @Override
    public void reportLoad(String endpoint, LoadReport report) {
        EndpointState state = mTable.state(endpoint);
        if (state != null) {
            state.report(report);
        }
    }

    @Override
    public synchronized Optional<EndpointExclusion> applySigns(
            EndpointDescription endpoint, EndpointSigns signs) {
        signs.load().ifPresent(load -> reportLoad(endpoint.name(), load));
        return mExclusions.apply(endpoint, state(endpoint), signs);
    }

    private Optional<EndpointState> state(EndpointDescription endpoint) {
        return Optional.ofNullable(mTable.state(endpoint.name()));
    }

    @Override
    public void updateEngineMemory(Map<String, Long> tokensByService) {
        mMemory.update(tokensByService);
    }

    @Override
    public boolean isOversized(RequestProfile profile) {
        return profile.isModelRequest()
                && mMemory.isOversized(mTable.poolOf(profile.target()), profile.promptTokens());
    }

    @Override
    public boolean accepts(EndpointDescription endpoint) {
        return mExclusions.accepts(endpoint, state(endpoint));
    }

    @Override
    public Optional<Duration> timeUntilUsable(RequestProfile profile) {
        return mExclusions.timeUntilUsable(mTable.candidates(profile.target()));
    }

    /** Returns how many endpoints are left out at the moment, by reason. */
    public ExclusionCounts exclusionCounts() {
        return ExclusionCounts.of(mTable.states().values(), mExclusions);
    }

    @Override
    public Set<String> suspected(RequestProfile profile, RequestPhase phase) {
        return LossAvoidance.suspected(
                mTable.candidates(profile.target()),
                state -> EndpointChoice.acceptsPhase(mSettings, state.description(), phase));
    }

    @Override
    public List<EndpointLoad> ownLoad() {
        List<EndpointLoad> loads = new ArrayList<>();
        for (EndpointState state : mTable.states().values()) {
            EndpointLoad load = state.ownLoad();
            if (load.running() > 0 || load.suspecting() > 0) {
                loads.add(load);
            }
        }
        return loads;
    }

    @Override
    public List<PrefixUpdate> takePrefixUpdates() {
        return mPrefixUpdates.take();
    }

    @Override
    public void applyPrefixUpdate(PrefixUpdate update) {
        mPrefixes.add(update.endpoint(), update.hash());
    }

    @Override
    public void updatePeerLoad(Map<String, EndpointLoad> loads) {
        mTable.states()
                .forEach(
                        (name, state) -> {
                            EndpointLoad load =
                                    loads.getOrDefault(name, new EndpointLoad(name, 0, 0));
                            state.updatePeerLoad(load);
                            state.suspicion().updatePeers(load.suspecting(), mProcesses);
                        });
        mLocality.update(mTable);
    }

    /** Returns which part of the requests may leave; empty where the settings state no locality. */
    public Optional<DomainOutflows> outflows() {
        return mLocality.outflows();
    }

    @Override
    public Optional<PhaseLoad> phaseLoad(
            String service, int processes, ToIntFunction<EndpointRole> engines) {
        return PhaseLoadSum.over(mTable.pool(service), processes, this::capacity)
                .flatMap(sum -> sum.extendedTo(engines));
    }

    private double capacity(EndpointState state) {
        return mSettings.traits().tokenIntervalLimitNanos() <= 0
                ? Double.POSITIVE_INFINITY
                : state.decodeCapacity();
    }

    @Override
    public void markLeaving(String endpoint) {
        EndpointState state = mTable.state(endpoint);
        if (state != null) {
            state.markLeaving();
        }
    }

    @Override
    public void clearLeaving(String endpoint) {
        EndpointState state = mTable.state(endpoint);
        if (state != null) {
            state.clearLeaving();
        }
    }

    @Override
    public boolean isServing(String endpoint) {
        EndpointState state = mTable.state(endpoint);
        return state != null && !state.isLeaving();
    }

    @Override
    public List<EndpointDescription> subset() {
        return mTable.subset();
    }

    @Override
    public String poolOf(String target) {
        return mTable.poolOf(target);
    }

    @Override
    public int usableEndpoints(String pool) {
        return PoolCapacity.usable(mTable.pool(pool));
    }

    @Override
    public int prefillEndpoints(String pool) {
        return PoolCapacity.usableExcept(mTable.pool(pool), EndpointRole.DECODE);
    }

    @Override
    public int decodeEndpoints(String pool) {
        return PoolCapacity.usableExcept(mTable.pool(pool), EndpointRole.PREFILL);
    }

    @Override
    public long expectedWaitNanos(String pool) {
        return PoolCapacity.expectedWaitNanos(mTable.pool(pool));
    }

    private long nextRandom() {
        synchronized (mRandom) {
            return mRandom.nextLong();
        }
    }
}
