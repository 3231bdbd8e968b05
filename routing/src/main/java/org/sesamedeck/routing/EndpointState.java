package org.sesamedeck.routing;

import java.util.ArrayDeque;
import org.sesamedeck.core.Clock;

/**
 * What one router knows about one endpoint: its last report, the router's own work since then, its
 * learned speed and its circuit breaker. Thread-safe.
 */
final class EndpointState {
    private static final double LEARNING_RATE = 0.1;

    /** Work known only from reports older than this says nothing about the present. */
    private static final long MAX_REPORT_AGE_NANOS = 15_000_000_000L;

    /** The table lags behind the host list by seconds; a drain that was undone ends within this. */
    private static final long MAX_MARK_AGE_NANOS = 30_000_000_000L;

    /** Without reports for long, the oldest assignments are forgotten. */
    private static final int MAX_SINCE_REPORT = 1024;

    /** Peers tell their work several times a second; older news are not used. */
    private static final long MAX_PEER_LOAD_AGE_NANOS = 800_000_000L;

    /** Even a slow engine is given some answers, by which it shows that it is faster again. */
    private static final double MIN_ROOM = 2;

    /** Time over which own prompts count as recent; about the age of a late report. */
    private static final double RECENT_NANOS = 1e9;

    private final Clock mClock;
    private final EngineTraits mTraits;
    private final CircuitBreaker mBreaker;
    private final ArrayDeque<RoutedAssignment> mSinceReport = new ArrayDeque<>();
    private volatile EndpointDescription mDescription;
    private volatile boolean mMarkedLeaving;
    private volatile long mMarkedAtNanos;
    private boolean mHasReport;
    private long mReportedAtNanos;
    private double mReportedNanos;
    private int mReportedRunning;
    private int mReportedQueued;
    private int mOwnRunning;
    private double mOwnUnstartedNanos;
    private double mSinceReportNanos;
    private double mSentSinceReportNanos;
    private int mSinceReportRunning;
    private double mPrefillNanosPerToken;
    private double mDecodeNanosPerToken;
    private double mPlainNanos = 10_000_000;
    private double mRecentNanos;
    private long mRecentAtNanos;
    private boolean mHasPeerLoad;
    private long mPeerLoadAtNanos;
    private double mPeerWaitingNanos;
    private int mPeerRunning;

    EndpointState(Clock clock, RouterSettings settings, EndpointDescription description) {
        mClock = clock;
        mBreaker = CircuitBreaker.create(clock);
        mTraits = settings.traits();
        mDescription = description;
        mPrefillNanosPerToken = settings.prefillNanosPerToken();
        mDecodeNanosPerToken = settings.decodeNanosPerToken();
    }

    EndpointDescription description() {
        return mDescription;
    }

    CircuitBreaker breaker() {
        return mBreaker;
    }

    /**
     * A live table entry lifts an earlier mark when the table had shown the endpoint as leaving, or
     * when the table has not confirmed the mark within 30 s.
     */
    void update(EndpointDescription description) {
        boolean isOld = mClock.nanoTime() - mMarkedAtNanos > MAX_MARK_AGE_NANOS;
        if (!description.isLeaving() && (mDescription.isLeaving() || isOld)) {
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

    boolean isUsable() {
        EndpointDescription description = mDescription;
        return !mMarkedLeaving
                && !description.isLeaving()
                && !description.isChanging()
                && mBreaker.allows();
    }

    synchronized void report(LoadReport report) {
        if (mHasReport && report.observedAtNanos() - mReportedAtNanos < 0) {
            return;
        }
        mHasReport = true;
        mReportedAtNanos = report.observedAtNanos();
        mReportedRunning = report.runningRequests();
        mReportedQueued = report.queuedRequests();
        mReportedNanos = report.queuedPromptTokens() * mPrefillNanosPerToken;
        while (!mSinceReport.isEmpty()
                && mSinceReport.peekFirst().assignedAtNanos() - mReportedAtNanos <= 0) {
            RoutedAssignment included = mSinceReport.pollFirst();
            if (included.leaveSinceReport()) {
                mSinceReportNanos -= included.unstartedNanos();
                mSinceReportRunning--;
            }
            mSentSinceReportNanos -= included.promptNanos();
        }
    }

    /** Takes the work of all other processes together. */
    synchronized void peerLoad(EndpointLoad load) {
        mHasPeerLoad = true;
        mPeerLoadAtNanos = mClock.nanoTime();
        mPeerWaitingNanos = load.waitingNanos();
        mPeerRunning = load.running();
    }

    synchronized EndpointLoad ownLoad() {
        return new EndpointLoad(
                mDescription.name(), (long) Math.max(0, mOwnUnstartedNanos), mOwnRunning);
    }

    private boolean knowsPeerLoad() {
        return mHasPeerLoad && mClock.nanoTime() - mPeerLoadAtNanos < MAX_PEER_LOAD_AGE_NANOS;
    }

    synchronized void assigned(RoutedAssignment assignment) {
        if (mSinceReport.size() >= MAX_SINCE_REPORT) {
            RoutedAssignment oldest = mSinceReport.pollFirst();
            mSentSinceReportNanos -= oldest.promptNanos();
            if (oldest.leaveSinceReport()) {
                mSinceReportNanos -= oldest.unstartedNanos();
                mSinceReportRunning--;
            }
        }
        mSinceReport.addLast(assignment);
        mSinceReportNanos += assignment.promptNanos();
        mSentSinceReportNanos += assignment.promptNanos();
        mSinceReportRunning++;
        mRecentNanos = recentPromptNanos() + assignment.promptNanos();
        mOwnRunning++;
        mOwnUnstartedNanos += assignment.promptNanos();
    }

    /** The first token is there: the prompt no longer waits, the answer still runs. */
    synchronized void started(RoutedAssignment assignment) {
        double nanos = assignment.takeUnstartedNanos();
        mOwnUnstartedNanos -= nanos;
        if (assignment.isSinceReport()) {
            mSinceReportNanos -= nanos;
        }
    }

    synchronized void closed(RoutedAssignment assignment) {
        started(assignment);
        mOwnRunning--;
        if (assignment.leaveSinceReport()) {
            mSinceReportRunning--;
        }
    }

    /** Learns from an answer that met no queue, as far as this router knows. */
    synchronized void learn(
            boolean isModelRequest,
            double uncachedTokens,
            long outputTokens,
            long prefillNanos,
            long decodeNanos,
            boolean wasIdle) {
        if (!isModelRequest) {
            mPlainNanos += LEARNING_RATE * (prefillNanos + decodeNanos - mPlainNanos);
            return;
        }
        if (wasIdle && uncachedTokens >= 64) {
            double sample = prefillNanos / uncachedTokens;
            // A prompt is never processed faster than measured, but often waits for a batch:
            // low samples count in full, high ones only a little.
            double rate = sample < mPrefillNanosPerToken ? LEARNING_RATE : LEARNING_RATE / 10;
            mPrefillNanosPerToken += rate * (sample - mPrefillNanosPerToken);
        }
        if (outputTokens >= 8 && decodeNanos > 0) {
            double sample =
                    decodeNanos / (outputTokens - 1.0) / (1 + runningNow() / mTraits.batchScale());
            mDecodeNanosPerToken += LEARNING_RATE * (sample - mDecodeNanosPerToken);
        }
    }

    /** Learns from the pace of an answer that is still in progress. */
    synchronized void learnPace(int tokens, long nanos) {
        double sample = (double) nanos / tokens / (1 + runningNow() / mTraits.batchScale());
        mDecodeNanosPerToken += LEARNING_RATE * (sample - mDecodeNanosPerToken);
    }

    /** Returns how many answers the engine can produce at the pace that is asked for. */
    synchronized double answerRoom() {
        double room = (mTraits.paceLimitNanos() / mDecodeNanosPerToken - 1) * mTraits.batchScale();
        return Math.max(MIN_ROOM, room);
    }

    /**
     * Returns the expected time until work sent now would begin, in nanoseconds: what was reported,
     * less what the endpoint can have done since, plus what was sent since. This router knows only
     * its own part of that; the other processes saw the same report and are taken to have sent as
     * much.
     *
     * @param processes number of processes that send work, including this one
     */
    synchronized double expectedWaitNanos(int processes) {
        if (!mDescription.isEngine()) {
            return (runningNow() + mReportedQueued) * mPlainNanos;
        }
        if (knowsPeerLoad()) {
            return Math.max(0, mOwnUnstartedNanos) + mPeerWaitingNanos;
        }
        if (!mHasReport) {
            return mSinceReportNanos;
        }
        long age = mClock.nanoTime() - mReportedAtNanos;
        double reported = age > MAX_REPORT_AGE_NANOS ? 0 : mReportedNanos;
        return Math.max(mSinceReportNanos, reported + processes * mSentSinceReportNanos - age);
    }

    /**
     * Returns the own prompts of about the last second, whether finished or not; nothing when the
     * present work of all processes is known.
     */
    synchronized double recentPromptNanos() {
        if (knowsPeerLoad()) {
            return 0;
        }
        long now = mClock.nanoTime();
        if (now != mRecentAtNanos) {
            mRecentNanos *= Math.exp(-(now - mRecentAtNanos) / RECENT_NANOS);
            mRecentAtNanos = now;
        }
        return mRecentNanos;
    }

    synchronized double runningNow() {
        if (knowsPeerLoad()) {
            return mOwnRunning + mPeerRunning;
        }
        return mHasReport ? mReportedRunning + mSinceReportRunning : mOwnRunning;
    }

    synchronized boolean isIdle() {
        return mOwnUnstartedNanos <= 0 && mReportedQueued == 0;
    }

    synchronized double prefillNanosPerToken() {
        return mPrefillNanosPerToken;
    }

    /** Returns the expected time between tokens under the present batch, in nanoseconds. */
    synchronized double decodeNanosPerToken() {
        return mDecodeNanosPerToken * (1 + runningNow() / mTraits.batchScale());
    }

    /** Returns by how much others' answers since the report slow down a token, in nanoseconds. */
    synchronized double othersDecodeNanosPerToken(int processes) {
        return mDecodeNanosPerToken * (processes - 1) * mSinceReportRunning / mTraits.batchScale();
    }

    synchronized double plainNanos() {
        return mPlainNanos;
    }
}
