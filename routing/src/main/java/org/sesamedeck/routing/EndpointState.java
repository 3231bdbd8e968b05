package org.sesamedeck.routing;

import java.util.ArrayDeque;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * One router's local view of one endpoint: its last load report, the router's own assignments since
 * then, its learned speed and its circuit breaker. Thread-safe.
 */
final class EndpointState {
    /** The load of other processes is older than a report of this age. */
    private static final long FRESH_REPORT_NANOS = 100_000_000L;

    /** Reported work is ignored in older reports, which say nothing about the current load. */
    private static final long MAX_REPORT_AGE_NANOS = 15_000_000_000L;

    /**
     * Expiry of a leaving mark that the table has not confirmed, so that a cancelled drain does not
     * keep the endpoint out of use. The table lags behind the host list by seconds.
     */
    private static final long MAX_MARK_AGE_NANOS = 30_000_000_000L;

    /** Bounds the tracked assignments when reports are missing; the oldest are dropped. */
    private static final int MAX_ASSIGNMENTS_SINCE_REPORT = 1024;

    /** Peers publish their load several times a second; an older load is not used. */
    private static final long MAX_PEER_LOAD_AGE_NANOS = 800_000_000L;

    /** Shorter responses measure fixed costs. */
    private static final long MIN_OUTPUT_TOKENS = 8;

    /** Decay time of this router's recent prompts; about the age of a delayed report. */
    private static final double RECENT_PROMPTS_DECAY_NANOS = 1e9;

    private final Clock mClock;
    private final EngineTraits mTraits;
    private final EngineSpeed mEngineSpeed;
    private final CircuitBreaker mBreaker;
    private final EndpointHold mHold;
    private final EndpointSuspicion mSuspicion;
    private final ServiceTimeModel mServiceTime;
    private final SpeedEstimate mSpeed;
    private final ArrayDeque<RoutedAssignment> mAssignmentsSinceReport = new ArrayDeque<>();
    private volatile EndpointDescription mDescription;
    private volatile boolean mMarkedLeaving;
    private volatile long mMarkedAtNanos;
    private volatile boolean mStatedLeaving;
    private boolean mHasReport;
    private long mReportedAtNanos;
    private double mReportedPromptNanos;
    private int mReportedRunning;
    private int mReportedQueued;
    private int mOwnRunning;
    private double mOwnUnstartedNanos;
    private long mOwnTokens;
    private double mUnstartedSinceReportNanos;
    private double mAssignedSinceReportNanos;
    private int mRunningSinceReport;
    private int mSlots;
    private double mRecentPromptNanos;
    private long mRecentUpdatedAtNanos;
    private boolean mHasPeerLoad;
    private long mPeerLoadAtNanos;
    private double mPeerWaitingNanos;
    private int mPeerRunning;
    private long mPeerTokens;

    EndpointState(
            Clock clock,
            RouterSettings settings,
            EndpointDescription description,
            ServiceTimeModel serviceTime,
            SpeedEstimate speed,
            EndpointSuspicion suspicion) {
        mClock = clock;
        mBreaker = CircuitBreaker.create(clock);
        mHold = new EndpointHold(clock);
        mSuspicion = suspicion;
        mTraits = settings.traits();
        mDescription = description;
        mSpeed = speed;
        mServiceTime = serviceTime;
        mEngineSpeed = new EngineSpeed(settings);
    }

    EndpointDescription description() {
        return mDescription;
    }

    CircuitBreaker breaker() {
        return mBreaker;
    }

    /**
     * Updates the description. A table entry that is not leaving clears an earlier leaving mark
     * when the table had shown the endpoint as leaving, or when the table has not confirmed the
     * mark within 30 s.
     */
    void update(EndpointDescription description) {
        boolean isMarkExpired = mClock.nanoTime() - mMarkedAtNanos > MAX_MARK_AGE_NANOS;
        if (!description.isLeaving() && (mDescription.isLeaving() || isMarkExpired)) {
            mMarkedLeaving = false;
        }
        mDescription = description;
    }

    void markLeaving() {
        mMarkedAtNanos = mClock.nanoTime();
        mMarkedLeaving = true;
    }

    void clearLeaving() {
        mMarkedLeaving = false;
    }

    /** Records that this process of the endpoint has stated that it leaves, which is final. */
    void statedLeaving() {
        mStatedLeaving = true;
    }

    boolean isLeaving() {
        return mStatedLeaving || mMarkedLeaving || mDescription.isLeaving();
    }

    EndpointHold hold() {
        return mHold;
    }

    EndpointSuspicion suspicion() {
        return mSuspicion;
    }

    /** Returns the time until a request may be sent; 0 when it may be sent now or is unknown. */
    long nanosUntilUsable() {
        return Math.max(0, Math.max(mHold.remainingNanos(), mBreaker.nanosUntilProbe()));
    }

    boolean isUsable() {
        return CandidateExclusion.of(this) == null;
    }

    /** Returns the age of the newest load known, in ns; Long.MAX_VALUE while none is known. */
    synchronized long loadAgeNanos() {
        long now = mClock.nanoTime();
        long reportAge = mHasReport ? now - mReportedAtNanos : Long.MAX_VALUE;
        long peerAge = knowsPeerLoad() ? now - mPeerLoadAtNanos : Long.MAX_VALUE;
        return Math.min(reportAge, peerAge);
    }

    synchronized void report(LoadReport report) {
        if (mHasReport && report.observedAtNanos() - mReportedAtNanos < 0) {
            return;
        }
        mHasReport = true;
        mReportedAtNanos = report.observedAtNanos();
        mReportedRunning = report.runningRequests();
        mReportedQueued = report.queuedRequests();
        mSlots = report.slots().orElse(0);
        report.pace().ifPresent(pace -> mSpeed.paceReported(pace, mReportedAtNanos));
        mReportedPromptNanos = report.queuedPromptTokens() * mEngineSpeed.prefillNanosPerToken();
        while (!mAssignmentsSinceReport.isEmpty()
                && mAssignmentsSinceReport.peekFirst().assignedAtNanos() - mReportedAtNanos <= 0) {
            RoutedAssignment included = mAssignmentsSinceReport.pollFirst();
            if (included.stopCountingSinceReport()) {
                mUnstartedSinceReportNanos -= included.unstartedNanos();
                mRunningSinceReport--;
            }
            mAssignedSinceReportNanos -= included.promptNanos();
        }
    }

    /** Updates the load summed over all other processes. */
    synchronized void updatePeerLoad(EndpointLoad load) {
        mHasPeerLoad = true;
        mPeerLoadAtNanos = mClock.nanoTime();
        mPeerWaitingNanos = load.waitingNanos();
        mPeerRunning = load.running();
        mPeerTokens = load.tokens();
    }

    synchronized EndpointLoad ownLoad() {
        return new EndpointLoad(
                mDescription.name(),
                (long) Math.max(0, mOwnUnstartedNanos),
                mOwnRunning,
                mOwnTokens,
                mSuspicion.hasEvidence() ? 1 : 0);
    }

    /** Returns the tokens of all known requests that the endpoint holds. */
    synchronized long heldTokens() {
        return mOwnTokens + (knowsPeerLoad() ? mPeerTokens : 0);
    }

    /** Returns the load summed over all other processes; empty while it is unknown. */
    synchronized Optional<EndpointLoad> peerLoad() {
        return Optional.of(
                        new EndpointLoad(
                                mDescription.name(),
                                (long) mPeerWaitingNanos,
                                mPeerRunning,
                                mPeerTokens))
                .filter(load -> knowsPeerLoad());
    }

    private boolean knowsPeerLoad() {
        return mHasPeerLoad && mClock.nanoTime() - mPeerLoadAtNanos < MAX_PEER_LOAD_AGE_NANOS;
    }

    synchronized void assigned(RoutedAssignment assignment) {
        if (mAssignmentsSinceReport.size() >= MAX_ASSIGNMENTS_SINCE_REPORT) {
            RoutedAssignment oldest = mAssignmentsSinceReport.pollFirst();
            mAssignedSinceReportNanos -= oldest.promptNanos();
            if (oldest.stopCountingSinceReport()) {
                mUnstartedSinceReportNanos -= oldest.unstartedNanos();
                mRunningSinceReport--;
            }
        }
        mAssignmentsSinceReport.addLast(assignment);
        mUnstartedSinceReportNanos += assignment.promptNanos();
        mAssignedSinceReportNanos += assignment.promptNanos();
        mRunningSinceReport++;
        mRecentPromptNanos = recentPromptNanos() + assignment.promptNanos();
        mOwnRunning++;
        mOwnTokens += assignment.tokens();
        mOwnUnstartedNanos += assignment.promptNanos();
    }

    /**
     * Records the first token: the prompt no longer counts as waiting, the response is still
     * running.
     */
    synchronized void started(RoutedAssignment assignment) {
        double nanos = assignment.clearUnstartedNanos();
        mOwnUnstartedNanos -= nanos;
        if (assignment.isCountedSinceReport()) {
            mUnstartedSinceReportNanos -= nanos;
        }
    }

    synchronized void closed(RoutedAssignment assignment) {
        started(assignment);
        mOwnRunning--;
        mOwnTokens -= assignment.tokens();
        if (assignment.stopCountingSinceReport()) {
            mRunningSinceReport--;
        }
    }

    /**
     * Learns the endpoint's speed from a completed response. Prefill speed is learned only when
     * this router knew of no queue at the endpoint.
     */
    synchronized void learnEngine(
            double uncachedTokens,
            long outputTokens,
            long prefillNanos,
            long decodeNanos,
            boolean startedAtOnce) {
        if (startedAtOnce) {
            mEngineSpeed.learnPrompt(uncachedTokens, prefillNanos);
        }
        if (outputTokens >= MIN_OUTPUT_TOKENS && decodeNanos > 0) {
            learnTokenInterval(outputTokens - 1, decodeNanos);
        }
    }

    /** Learns from the token interval of a response that is still in progress. */
    synchronized void learnTokenInterval(long tokens, long nanos) {
        mEngineSpeed.learnTokenInterval(tokens, nanos, runningNow());
    }

    /**
     * Learns from a request to a plain service how long requests take there and at the endpoints of
     * the service on average.
     *
     * @param startedAtOnce whether it did not wait, as far as it is known; only then does its time
     *     tell the speed
     * @param pace pace of the host when the response arrived
     */
    synchronized void learnService(long nanos, boolean startedAtOnce, double pace) {
        if (startedAtOnce) {
            double expected = mServiceTime.nanos();
            mServiceTime.learn(nanos * mSpeed.pace() / (mSpeed.factor() * pace));
            mSpeed.learn(nanos / expected, 1, pace);
        }
    }

    /** Returns the current pace of the endpoint's host; 1 is usual. */
    synchronized double pace() {
        return mSpeed.pace();
    }

    /** Returns how many responses the engine can generate within the token interval limit. */
    synchronized double decodeCapacity() {
        return mEngineSpeed.decodeCapacity();
    }

    /**
     * Returns the expected time until work sent now would begin, in nanoseconds.
     *
     * <p>For a plain service, see {@link #plainWaitNanos}. For an engine, it is the prefill time of
     * all prompts that wait for their first token, when the load of the other processes is known.
     * Otherwise, it is the reported work, less what the endpoint can have done since, plus what was
     * sent since. This router knows only its own part of the latter; the other processes saw the
     * same report and are assumed to have sent as much.
     *
     * @param processes number of processes that send work, including this one
     */
    synchronized double expectedWaitNanos(int processes) {
        if (!mDescription.isEngine()) {
            return plainWaitNanos();
        }
        if (knowsPeerLoad()) {
            return Math.max(0, mOwnUnstartedNanos) + mPeerWaitingNanos;
        }
        if (!mHasReport) {
            return mUnstartedSinceReportNanos;
        }
        long age = mClock.nanoTime() - mReportedAtNanos;
        double reported = age > MAX_REPORT_AGE_NANOS ? 0 : mReportedPromptNanos;
        return Math.max(
                mUnstartedSinceReportNanos, reported + processes * mAssignedSinceReportNanos - age);
    }

    /**
     * Returns the expected wait, but no less than the prompts that the endpoint reported lately, so
     * that work of processes whose load does not arrive is seen.
     */
    synchronized double knownWaitNanos() {
        long age = mClock.nanoTime() - mReportedAtNanos;
        double reported =
                mDescription.isEngine() && mHasReport && age < MAX_PEER_LOAD_AGE_NANOS
                        ? mReportedPromptNanos - age
                        : 0;
        return Math.max(reported, expectedWaitNanos(1));
    }

    /** Returns the time that the endpoint needs for the work that it has, in nanoseconds. */
    synchronized double workNanos() {
        return mDescription.isEngine()
                ? knownWaitNanos()
                : plainRequests() * plainServiceNanos() / Math.max(1, mSlots);
    }

    /** Returns the fraction of the endpoint's capacity that is in use. */
    synchronized double busyFraction() {
        double work = mDescription.isEngine() ? knownWaitNanos() : plainRequests();
        double capacity = mDescription.isEngine() ? 1 : Math.max(1, mSlots);
        return Math.min(1, Math.ceil(work) / capacity);
    }

    /**
     * Returns the expected wait at a plain service. An endpoint that has not reported its slots is
     * taken to have one, so that a new one gets little work until its first response.
     */
    private double plainWaitNanos() {
        return SlotWait.nanos(plainRequests(), Math.max(1, mSlots), plainServiceNanos());
    }

    /** Returns the number of requests that a plain service has, running or queued. */
    private double plainRequests() {
        long age = mClock.nanoTime() - mReportedAtNanos;
        if (knowsPeerLoad() && (!mHasReport || age > FRESH_REPORT_NANOS)) {
            return mOwnRunning + mPeerRunning;
        }
        return mHasReport && age <= MAX_REPORT_AGE_NANOS
                ? mReportedRunning + mReportedQueued + mRunningSinceReport
                : mOwnRunning;
    }

    /** Returns whether work sent now would start at once, as far as this router knows. */
    synchronized boolean startsAtOnce() {
        return mDescription.isEngine()
                ? mOwnUnstartedNanos <= 0 && mReportedQueued == 0
                : plainRequests() < Math.max(1, mSlots);
    }

    /**
     * Returns the prefill time of this router's prompts of about the last second, finished or not;
     * zero when the current load of all processes is known.
     */
    synchronized double recentPromptNanos() {
        if (knowsPeerLoad()) {
            return 0;
        }
        long now = mClock.nanoTime();
        if (now != mRecentUpdatedAtNanos) {
            mRecentPromptNanos *=
                    Math.exp(-(now - mRecentUpdatedAtNanos) / RECENT_PROMPTS_DECAY_NANOS);
            mRecentUpdatedAtNanos = now;
        }
        return mRecentPromptNanos;
    }

    /** Returns the number of requests in progress, as far as it is known. */
    synchronized double runningNow() {
        if (knowsPeerLoad()) {
            return mOwnRunning + mPeerRunning;
        }
        return mHasReport ? mReportedRunning + mRunningSinceReport : mOwnRunning;
    }

    synchronized double prefillNanosPerToken() {
        return mEngineSpeed.prefillNanosPerToken();
    }

    /** Returns the expected time between tokens under the current batch, in nanoseconds. */
    synchronized double decodeNanosPerToken() {
        return mEngineSpeed.decodeNanosPerToken(runningNow());
    }

    /**
     * Returns by how much the responses that other processes are assumed to have started since the
     * report lengthen the token interval, in nanoseconds.
     */
    synchronized double peerDecodeNanosPerToken(int processes) {
        return mEngineSpeed.idleDecodeNanosPerToken()
                * (processes - 1)
                * mRunningSinceReport
                / mTraits.batchScale();
    }

    synchronized double plainServiceNanos() {
        return mServiceTime.nanos() * mSpeed.factor();
    }
}
