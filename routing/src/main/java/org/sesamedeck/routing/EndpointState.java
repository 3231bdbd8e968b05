package org.sesamedeck.routing;

import java.util.ArrayDeque;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * One router's local view of one endpoint: its last load report, the router's own assignments since
 * then, its learned speed and its circuit breaker. Thread-safe.
 */
final class EndpointState {
    /** Weight of one interval between tokens in the learned speed, in requests. */
    private static final double TOKEN_INTERVAL_WEIGHT = 0.1;

    /** The time of shorter prompts says little about the time of a token. */
    private static final double MIN_LEARNED_TOKENS = 64;

    /**
     * Weight of a long time while the load of other processes is unknown: the prompt may have
     * waited for theirs, whereas a short time is never too short.
     */
    private static final double POSSIBLE_WAIT_WEIGHT = 0.1;

    /** Work that waits for no longer than this fraction of its own time counts as not waiting. */
    private static final double NEGLIGIBLE_WAIT = 0.1;

    /** The load of other processes is older than a report of this age. */
    private static final long FRESH_REPORT_NANOS = 100_000_000L;

    /** Limits the chance of a wait for a slot, which has no bound as all slots become busy. */
    private static final double MAX_BUSY_PART = 0.8;

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

    /**
     * Even a slow engine receives some responses, since only those show when it is faster again.
     */
    private static final double MIN_DECODE_CAPACITY = 2;

    /** Decay time of this router's recent prompts; about the age of a delayed report. */
    private static final double RECENT_PROMPTS_DECAY_NANOS = 1e9;

    private final Clock mClock;
    private final EngineTraits mTraits;
    private final CircuitBreaker mBreaker;
    private final EndpointHold mHold;
    private final WorkTimeModels mModels;
    private final SpeedEstimate mSpeed;
    private final ArrayDeque<RoutedAssignment> mAssignmentsSinceReport = new ArrayDeque<>();
    private volatile EndpointDescription mDescription;
    private volatile WorkTimeModel mModel;
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

    EndpointState(
            Clock clock,
            RouterSettings settings,
            EndpointDescription description,
            WorkTimeModels models,
            SpeedEstimate speed) {
        mClock = clock;
        mBreaker = CircuitBreaker.create(clock);
        mHold = new EndpointHold(clock);
        mTraits = settings.traits();
        mDescription = description;
        mModels = models;
        mSpeed = speed;
        mModel = models.of(description);
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
        mModel = mModels.of(description);
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

    /** Returns the hold that the endpoint has asked for. */
    EndpointHold hold() {
        return mHold;
    }

    /** Returns the time until a request may be sent; 0 when it may be sent now or is unknown. */
    long nanosUntilUsable() {
        return Math.max(0, Math.max(mHold.remainingNanos(), mBreaker.nanosUntilProbe()));
    }

    boolean isUsable() {
        return !isLeaving() && !mDescription.isChanging() && !mHold.isActive() && mBreaker.allows();
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
        mReportedPromptNanos = report.queuedPromptTokens() * prefillNanosPerToken();
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
    }

    synchronized EndpointLoad ownLoad() {
        return new EndpointLoad(
                mDescription.name(), (long) Math.max(0, mOwnUnstartedNanos), mOwnRunning);
    }

    /** Returns the load summed over all other processes; empty while it is unknown. */
    synchronized Optional<EndpointLoad> peerLoad() {
        return Optional.of(
                        new EndpointLoad(
                                mDescription.name(), (long) mPeerWaitingNanos, mPeerRunning))
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
        if (assignment.stopCountingSinceReport()) {
            mRunningSinceReport--;
        }
    }

    /**
     * Learns from a completed response how long work takes at the endpoint and at those like it.
     *
     * @param uncachedTokens 0 if the response does not tell how long its prompt took
     * @param startedAtOnce whether the work did not wait, as far as it is known; only then does its
     *     time tell the speed
     * @param pace pace of the host when the first token arrived
     */
    synchronized void learn(
            boolean isModelRequest,
            double uncachedTokens,
            long prefillNanos,
            long decodeNanos,
            boolean startedAtOnce,
            double pace) {
        if (!startedAtOnce) {
            return;
        }
        if (!isModelRequest) {
            double nanos = prefillNanos + decodeNanos;
            double expected = mModel.serviceNanos();
            mModel.learnService(nanos / (lastingFactor() * pace));
            mSpeed.learn(nanos / expected, 1, pace);
        } else if (uncachedTokens >= MIN_LEARNED_TOKENS) {
            double ratio = prefillNanos / mModel.promptNanos(uncachedTokens);
            double usual = prefillNanos / (lastingFactor() * pace);
            boolean mayHaveWaited = !knowsPeerLoad() && ratio > mSpeed.factor();
            mModel.learnPrompt(uncachedTokens, usual, mayHaveWaited ? POSSIBLE_WAIT_WEIGHT : 1);
            if (knowsPeerLoad()) {
                // Otherwise, a wait behind the work of other processes would count as slowness.
                mSpeed.learn(ratio, 1, pace);
            }
        }
    }

    /** Learns from the token interval of a response that is still in progress. */
    synchronized void learnTokenInterval(int tokens, long nanos) {
        double sample = (double) nanos / tokens / (1 + runningNow() / mTraits.batchScale());
        double expected = mModel.tokenIntervalNanos();
        mModel.learnTokenInterval(sample / mSpeed.factor());
        mSpeed.learn(sample / expected, TOKEN_INTERVAL_WEIGHT, mSpeed.pace());
    }

    private double lastingFactor() {
        return mSpeed.factor() / mSpeed.pace();
    }

    /** Returns the current pace of the endpoint's host; 1 is usual. */
    synchronized double pace() {
        return mSpeed.pace();
    }

    /** Returns how many responses the engine can generate within the token interval limit. */
    synchronized double decodeCapacity() {
        double capacity =
                (mTraits.tokenIntervalLimitNanos() / idleTokenIntervalNanos() - 1)
                        * mTraits.batchScale();
        return Math.max(MIN_DECODE_CAPACITY, capacity);
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
     * Returns the expected wait at a plain service. A request does not wait while a slot is free.
     * Since requests of other processes arrive meanwhile, the approximation of the mean wait in an
     * M/M/c queue by Sakasegawa (1977) is added: it is small until most slots are busy. An endpoint
     * that has not reported its slots is taken to serve one request at a time, so that a new one
     * gets little work until its first response.
     */
    private double plainWaitNanos() {
        double requests = plainRequests();
        double slots = Math.max(1, mSlots);
        double busyPart = Math.min(MAX_BUSY_PART, requests / slots);
        double chance = Math.pow(busyPart, Math.sqrt(2 * (slots + 1)) - 1) / (1 - busyPart);
        double ahead = Math.max(0, requests + 1 - slots);
        return (ahead + chance) / slots * plainServiceNanos();
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

    /**
     * Returns whether work sent now would start at once, as far as it is known.
     *
     * @param nanos expected time of the work
     */
    synchronized boolean startsAtOnce(double nanos) {
        if (!mDescription.isEngine()) {
            return plainRequests() < Math.max(1, mSlots);
        }
        return knowsPeerLoad()
                ? expectedWaitNanos(1) <= NEGLIGIBLE_WAIT * nanos
                : mOwnUnstartedNanos <= 0 && mReportedQueued == 0;
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

    /** Returns the time to the first token of a prompt that does not wait, in nanoseconds. */
    synchronized double promptNanos(double uncachedTokens) {
        return mModel.promptNanos(uncachedTokens) * mSpeed.factor();
    }

    /** Returns the time for which a prompt token occupies the endpoint, in nanoseconds. */
    synchronized double prefillNanosPerToken() {
        return mModel.nanosPerToken() * mSpeed.factor();
    }

    /** Returns the expected time between tokens under the current batch, in nanoseconds. */
    synchronized double decodeNanosPerToken() {
        return idleTokenIntervalNanos() * (1 + runningNow() / mTraits.batchScale());
    }

    private double idleTokenIntervalNanos() {
        return mModel.tokenIntervalNanos() * mSpeed.factor();
    }

    /**
     * Returns by how much the responses that other processes are assumed to have started since the
     * report lengthen the token interval, in nanoseconds.
     */
    synchronized double peerDecodeNanosPerToken(int processes) {
        return idleTokenIntervalNanos()
                * (processes - 1)
                * mRunningSinceReport
                / mTraits.batchScale();
    }

    synchronized double plainServiceNanos() {
        return mModel.serviceNanos() * mSpeed.factor();
    }
}
