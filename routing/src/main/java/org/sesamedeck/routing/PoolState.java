package org.sesamedeck.routing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.TreeSet;

/** Queued and running requests of the endpoints of one service. Not thread-safe. */
final class PoolState {
    private static final long MAX_VIEW_AGE_NANOS = 2_000_000L;
    private static final double RATE_AVERAGING_SECONDS = 2;
    private static final double DEMAND_DECAY_FACTOR = 0.9;

    /** Up to this ratio of demand to capacity, the admission windows have their full width. */
    private static final double LOW_LOAD = 0.8;

    /** From this ratio of demand to capacity on, the admission windows are not widened. */
    private static final double CONTENDED_LOAD = 1.1;

    private static final double MAX_STREAMS_FACTOR = 1.5;
    private static final double MAX_WAIT_FACTOR = 2;
    private static final double MAX_WINDOW_FACTOR = 6;

    private final String mName;
    private final FairQueue<WaitingRequest> mQueue = FairQueue.create();
    private final TreeSet<WaitingRequest> mByDeadline =
            new TreeSet<>(
                    Comparator.comparingLong(WaitingRequest::deadlineNanos)
                            .thenComparingLong(WaitingRequest::sequence));
    private final PriorityQueue<AdmittedTicket> mUnstarted =
            new PriorityQueue<>(Comparator.comparingLong(AdmittedTicket::releaseAtNanos));
    private double mUnstartedMicros;
    private int mInFlight;
    private int mPrefillEndpoints;
    private int mDecodeEndpoints;
    private long mExpectedWaitNanos;
    private long mViewedAtNanos;
    private boolean mHasView;
    private double mRateMicros;
    private double mDemandMicros;
    private double mLoad = CONTENDED_LOAD;
    private int mUsableEndpoints;
    private long mRateAtNanos;

    PoolState(String name) {
        mName = name;
    }

    String name() {
        return mName;
    }

    FairQueue<WaitingRequest> queue() {
        return mQueue;
    }

    TreeSet<WaitingRequest> byDeadline() {
        return mByDeadline;
    }

    void refresh(CapacityView view, long nowNanos) {
        if (!mHasView || nowNanos - mViewedAtNanos >= MAX_VIEW_AGE_NANOS) {
            // A pool that was created before its endpoints were known has the name of a target.
            String pool = view.poolOf(mName);
            mUsableEndpoints = view.usableEndpoints(pool);
            mPrefillEndpoints = view.prefillEndpoints(pool);
            mDecodeEndpoints = view.decodeEndpoints(pool);
            mExpectedWaitNanos = view.expectedWaitNanos(pool);
            mViewedAtNanos = nowNanos;
            mHasView = true;
        }
    }

    boolean isUsable() {
        return mPrefillEndpoints > 0 && mDecodeEndpoints > 0;
    }

    /**
     * Returns whether another request may be admitted, given this process's fraction of the demand.
     */
    boolean hasCapacity(AdmissionSettings settings, double fraction) {
        if (!isUsable()) {
            return false;
        }
        if (mInFlight == 0) {
            return true;
        }
        return mUnstartedMicros
                        < mPrefillEndpoints
                                * fraction
                                * settings.promptWindow().toNanos()
                                / 1e3
                                * windowFactor()
                && mInFlight
                        < Math.max(
                                1,
                                mDecodeEndpoints
                                        * fraction
                                        * settings.streamsPerEndpoint()
                                        * Math.min(MAX_STREAMS_FACTOR, windowFactor()))
                && mExpectedWaitNanos
                        < settings.maxExpectedWait().toNanos()
                                * Math.min(MAX_WAIT_FACTOR, windowFactor());
    }

    /**
     * Returns the factor by which admission windows are widened. While the demand is below the
     * capacity of the endpoints, queued requests are a short burst and their order does not matter;
     * endpoints then balance them better than processes that each see only a part. Close to
     * contention the order of the queue decides the shares, so the window is narrow. The fleet's
     * load is used because the load that one process sees varies too much.
     */
    private double windowFactor() {
        double spareFraction = (CONTENDED_LOAD - mLoad) / (CONTENDED_LOAD - LOW_LOAD);
        return 1 + (MAX_WINDOW_FACTOR - 1) * Math.max(0, Math.min(1, spareFraction));
    }

    /** Records the engine time of a request that arrived, in microseconds. */
    void recordDemand(double costMicros) {
        mDemandMicros += costMicros;
    }

    /** Returns the engine time of recently arrived requests, and decays it. */
    double takeDemand() {
        double demand = mDemandMicros;
        mDemandMicros *= DEMAND_DECAY_FACTOR;
        return demand;
    }

    /** Sets the engine time that the fleet demands of this pool, in microseconds per second. */
    void setFleetDemand(double microsPerSecond) {
        mLoad = mUsableEndpoints == 0 ? CONTENDED_LOAD : microsPerSecond / (mUsableEndpoints * 1e6);
    }

    void admitted(AdmittedTicket ticket, double costMicros, long nowNanos) {
        mInFlight++;
        mUnstartedMicros += ticket.unstartedMicros();
        if (ticket.unstartedMicros() > 0) {
            mUnstarted.add(ticket);
        }
        decayRate(nowNanos);
        mRateMicros += costMicros / RATE_AVERAGING_SECONDS;
    }

    private void decayRate(long nowNanos) {
        double seconds = (nowNanos - mRateAtNanos) / 1e9;
        mRateMicros *= Math.exp(-seconds / RATE_AVERAGING_SECONDS);
        mRateAtNanos = nowNanos;
    }

    /**
     * Returns the engine time admitted per second, in microseconds: the measured rate, but at least
     * half of this process's part of the endpoints, since the measured rate is low after an idle
     * period.
     */
    double rateMicros(double fraction, long nowNanos) {
        decayRate(nowNanos);
        return Math.max(mRateMicros, 0.5e6 * mPrefillEndpoints * fraction);
    }

    void started(AdmittedTicket ticket) {
        if (ticket.markStarted()) {
            mUnstartedMicros = Math.max(0, mUnstartedMicros - ticket.unstartedMicros());
            mUnstarted.remove(ticket);
        }
    }

    void closed(AdmittedTicket ticket) {
        started(ticket);
        mInFlight--;
    }

    /**
     * Frees the prompt capacity of tickets whose start was not reported within the estimated time.
     */
    void expireUnstarted(long nowNanos) {
        while (!mUnstarted.isEmpty() && mUnstarted.peek().releaseAtNanos() - nowNanos <= 0) {
            started(mUnstarted.peek());
        }
    }

    long expectedWaitNanos() {
        return mExpectedWaitNanos;
    }
}
