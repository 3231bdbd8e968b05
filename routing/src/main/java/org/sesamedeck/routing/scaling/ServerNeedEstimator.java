package org.sesamedeck.routing.scaling;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sesamedeck.core.Clock;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.PhaseLoad;

/**
 * Estimates from the measured load of both phases how many servers a service needs. Not
 * thread-safe.
 *
 * <p>The thresholds follow from what callers notice. A prefill engine processes one prompt after
 * the other, so the wait of a short prompt is that behind a long one, and grows without bound as
 * the engines approach saturation; the peaks of the forecast stay at two thirds of it, so that on
 * average most prompts find an idle engine. A decode engine lengthens the token interval of all its
 * responses as it fills, and needs places for a burst until further servers have started. While the
 * load has been measured for less than the hold time, no fewer servers count as needed than were
 * there first.
 */
public final class ServerNeedEstimator {
    private static final double PREFILL_UTILIZATION = 0.65;
    private static final double DECODE_UTILIZATION = 0.6;

    /** Fraction of the target latency that prompts may wait on average. */
    private static final double WAIT_FRACTION = 0.25;

    /** Bounds how many more prefill engines one measurement of a long wait asks for. */
    private static final double MAX_WAIT_FACTOR = 1.5;

    /** Part of a server that is not worth another one. */
    private static final double ROUNDING = 0.05;

    /** A phase with a single engine is interrupted whenever that engine fails. */
    private static final int MIN_PER_PHASE = 2;

    /** Time within which the servers of a deployment that starts register. */
    private static final Duration REGISTRATION_TIME = Duration.ofSeconds(6);

    private final Clock mClock;
    private final LoadCoverage mCoverage;
    private final LoadForecast mPrefill;
    private final LoadForecast mDecode;
    private ServerCounts mFirstCounts = ServerCounts.of(List.of(), "");
    private OptionalLong mFirstSeenNanos = OptionalLong.empty();
    private Optional<ServerNeed> mLastKnown = Optional.empty();
    private OptionalLong mLastPartialNanos = OptionalLong.empty();

    private ServerNeedEstimator(Clock clock) {
        mClock = clock;
        mCoverage = new LoadCoverage(clock);
        mPrefill = new LoadForecast(clock);
        mDecode = new LoadForecast(clock);
    }

    /** Returns an estimator without measurements. */
    public static ServerNeedEstimator create(Clock clock) {
        return new ServerNeedEstimator(clock);
    }

    /**
     * Records the servers that are there. The first ones are the least until load is known. Servers
     * register one after the other when a deployment starts, and later this process may replace
     * them by reclaimable ones, so the most that were seen early on count, and the most ordinary
     * ones that were ever seen.
     */
    public void observeServers(ServerCounts counts) {
        if (counts.total() == 0) {
            return;
        }
        long now = mClock.nanoTime();
        if (mFirstSeenNanos.isEmpty()) {
            mFirstSeenNanos = OptionalLong.of(now);
        }
        boolean isMore =
                isKnown()
                        ? counts.ordinary() > mFirstCounts.total()
                        : counts.total() > mFirstCounts.total();
        if (isMore) {
            mFirstCounts = counts;
        }
    }

    /** Returns whether the servers have been seen for long enough to plan for them. */
    public boolean isKnown() {
        return mFirstSeenNanos.isPresent()
                && mClock.nanoTime() - mFirstSeenNanos.getAsLong() >= REGISTRATION_TIME.toNanos();
    }

    /**
     * Records of how many processes the load is known. While many are missing, the load counts as
     * more than was measured: what was needed before stays needed.
     *
     * @param processes processes that the measured load is summed over, this one included
     */
    public void observeProcesses(int processes) {
        mCoverage.observe(processes);
        if (!mCoverage.isComplete(processes)) {
            mLastPartialNanos = OptionalLong.of(mClock.nanoTime());
        }
    }

    private boolean wasPartial() {
        long holdNanos = LoadForecast.HOLD_TIME.toNanos();
        return mLastPartialNanos.isPresent()
                && mClock.nanoTime() - mLastPartialNanos.getAsLong() < holdNanos;
    }

    /**
     * Records a measurement of the load; called several times a second.
     *
     * @param counts servers that are there now
     * @param targetLatency shortest target latency of the service's routes
     */
    public void observeLoad(
            PhaseLoad load, ScalingTerms terms, ServerCounts counts, Duration targetLatency) {
        mPrefill.add(Math.max(load.busyPrefillEngines(), loadByWait(load, counts, targetLatency)));
        double places = Math.min(load.responsesPerEngine(), Math.max(1, terms.concurrency()));
        mDecode.add(load.responses() / Math.max(1, places));
    }

    /**
     * Returns the number of busy engines at which prompts of average variance would wait as long as
     * they do now: long prompts make others wait at a moderate utilization, too.
     */
    private static double loadByWait(PhaseLoad load, ServerCounts counts, Duration targetLatency) {
        double waitRatio = load.promptBacklogNanos() / (targetLatency.toNanos() * WAIT_FRACTION);
        int engines = counts.of(EndpointRole.PREFILL) + counts.of(EndpointRole.MIXED);
        return waitRatio <= 1
                ? 0
                : engines * PREFILL_UTILIZATION * Math.min(MAX_WAIT_FACTOR, waitRatio);
    }

    /** Returns the need until servers that are ordered now serve. */
    public ServerNeed need(ScalingTerms terms) {
        double busy = mPrefill.within(terms.startTime());
        int prefill = whole(busy / PREFILL_UTILIZATION);
        int decode = whole(mDecode.within(terms.startTime()) / DECODE_UTILIZATION);
        return needOf(Math.max(MIN_PER_PHASE, prefill), Math.max(MIN_PER_PHASE, decode));
    }

    private static int whole(double servers) {
        return (int) Math.ceil(servers - ROUNDING);
    }

    private ServerNeed needOf(int prefill, int decode) {
        if (mDecode.hasFullHistory() && !wasPartial()) {
            mLastKnown = Optional.of(new ServerNeed(prefill, decode, true, false));
            return mLastKnown.get();
        }
        if (mLastKnown.isPresent()) {
            // Samples have been lost; what was needed before is needed until there are new ones.
            return new ServerNeed(
                    Math.max(prefill, mLastKnown.get().prefill()),
                    Math.max(decode, mLastKnown.get().decode()),
                    false,
                    false);
        }
        int firstPrefill = mFirstCounts.of(EndpointRole.PREFILL);
        int firstOthers = mFirstCounts.total() - firstPrefill;
        return new ServerNeed(
                Math.max(prefill, firstPrefill),
                Math.max(decode, firstOthers),
                false,
                !mDecode.hasLoad());
    }
}
