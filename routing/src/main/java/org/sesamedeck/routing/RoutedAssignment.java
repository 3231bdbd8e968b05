package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * Assignment of {@link DefaultRouter}, which updates the endpoint's state and learns from the
 * outcome.
 */
final class RoutedAssignment implements Assignment {
    /**
     * Shorter prompts and responses and smaller batches measure fixed costs, not the cost of
     * tokens.
     */
    private static final double MIN_PROMPT_TOKENS = 512;

    private static final double MIN_BATCH = 16;
    private static final long MIN_OUTPUT_TOKENS = 16;

    private final Clock mClock;
    private final PrefixIndex mPrefixes;
    private final PrefixUpdateBuffer mPrefixUpdates;
    private final EngineTimeEstimator mEstimator;
    private final RequestProfile mProfile;
    private final EndpointState mEndpoint;
    private final EndpointDescription mDescription;
    private final RequestPhase mPhase;
    private final double mUncachedTokens;
    private final double mPromptNanos;
    private final long mAssignedAtNanos;
    private final boolean mStartsAtOnce;
    private double mUnstartedNanos;
    private boolean mIsCountedSinceReport = true;
    private boolean mHasOutcome;
    private boolean mIsClosed;
    private boolean mIsAwaited;
    private boolean mHasQueuedPrefixUpdate;
    private long mFirstTokenAtNanos;
    private double mPaceAtFirstToken = 1;

    RoutedAssignment(
            Clock clock,
            PrefixIndex prefixes,
            PrefixUpdateBuffer prefixUpdates,
            EngineTimeEstimator estimator,
            RequestProfile profile,
            EndpointState endpoint,
            RequestPhase phase,
            double uncachedTokens) {
        mClock = clock;
        mPrefixes = prefixes;
        mPrefixUpdates = prefixUpdates;
        mEstimator = estimator;
        mProfile = profile;
        mEndpoint = endpoint;
        mDescription = endpoint.description();
        mPhase = phase;
        mUncachedTokens = uncachedTokens;
        mPromptNanos =
                phase == RequestPhase.DECODE
                        ? 0
                        : profile.isModelRequest()
                                ? uncachedTokens * endpoint.prefillNanosPerToken()
                                : endpoint.plainServiceNanos();
        mUnstartedNanos = mPromptNanos;
        mAssignedAtNanos = clock.nanoTime();
        mStartsAtOnce = endpoint.startsAtOnce();
        if (phase != RequestPhase.DECODE) {
            mIsAwaited = true;
            endpoint.suspicion().awaits(endpoint.expectedWaitNanos(1) + mPromptNanos);
        }
        endpoint.assigned(this);
    }

    @Override
    public synchronized void responded() {
        mEndpoint.suspicion().responded();
        stopAwaiting();
    }

    private void stopAwaiting() {
        if (mIsAwaited) {
            mIsAwaited = false;
            mEndpoint.suspicion().awaitsNoLonger();
        }
    }

    double promptNanos() {
        return mPromptNanos;
    }

    /** Returns the tokens that the request holds at the endpoint; see {@link EngineMemory}. */
    long tokens() {
        return mPhase == RequestPhase.PREFILL
                ? 0
                : mProfile.promptTokens() + mProfile.expectedOutputTokens();
    }

    long assignedAtNanos() {
        return mAssignedAtNanos;
    }

    // The following four methods are called only under the lock of the endpoint's state.

    double unstartedNanos() {
        return mUnstartedNanos;
    }

    double clearUnstartedNanos() {
        double nanos = mUnstartedNanos;
        mUnstartedNanos = 0;
        return nanos;
    }

    /** Returns whether the state counts this among the assignments since the last load report. */
    boolean isCountedSinceReport() {
        return mIsCountedSinceReport;
    }

    /** Excludes this from those assignments and returns whether it was counted until now. */
    boolean stopCountingSinceReport() {
        boolean wasCounted = mIsCountedSinceReport;
        mIsCountedSinceReport = false;
        return wasCounted;
    }

    @Override
    public EndpointDescription endpoint() {
        return mDescription;
    }

    @Override
    public synchronized void firstToken() {
        if (mFirstTokenAtNanos != 0 || mIsClosed) {
            return;
        }
        mFirstTokenAtNanos = mClock.nanoTime();
        responded();
        mPaceAtFirstToken = mEndpoint.pace();
        mEndpoint.started(this);
        recordPrefix();
    }

    @Override
    public void progressed(int tokens, long nanos) {
        mEndpoint.suspicion().responded();
        mEndpoint.learnTokenInterval(tokens, nanos);
    }

    @Override
    public synchronized void succeeded(long promptTokens, long outputTokens) {
        if (mHasOutcome) {
            return;
        }
        mHasOutcome = true;
        mEndpoint.breaker().succeeded();
        responded();
        recordPrefix();
        long now = mClock.nanoTime();
        long first = mFirstTokenAtNanos == 0 ? now : mFirstTokenAtNanos;
        boolean hasPrompt = mPhase != RequestPhase.DECODE && mFirstTokenAtNanos != 0;
        if (mProfile.isModelRequest()) {
            mEndpoint.learnEngine(
                    hasPrompt ? mUncachedTokens : 0,
                    outputTokens,
                    first - mAssignedAtNanos,
                    now - first,
                    mStartsAtOnce);
        } else {
            mEndpoint.learnService(now - mAssignedAtNanos, mStartsAtOnce, mPaceAtFirstToken);
        }
        learnCost(hasPrompt, first - mAssignedAtNanos, outputTokens, now - first);
    }

    /**
     * Learns the engine time per token: for the prompt by itself, and for the output as one
     * response's part of a large batch.
     */
    private void learnCost(
            boolean hasPrompt, long prefillNanos, long outputTokens, long decodeNanos) {
        if (!mProfile.isModelRequest()) {
            return;
        }
        double prompt =
                hasPrompt && mStartsAtOnce && mUncachedTokens >= MIN_PROMPT_TOKENS
                        ? prefillNanos / mUncachedTokens / 1e3
                        : 0;
        double batch = mEndpoint.runningNow();
        double output =
                batch >= MIN_BATCH && outputTokens >= MIN_OUTPUT_TOKENS
                        ? decodeNanos / (double) outputTokens / batch / 1e3
                        : 0;
        mEstimator.recordCost(mProfile.target(), prompt, output);
    }

    @Override
    public synchronized void failed(Optional<Duration> retryAfter) {
        if (!mHasOutcome) {
            mHasOutcome = true;
            mEndpoint.breaker().failed(retryAfter);
        }
    }

    @Override
    public synchronized void lost() {
        if (!mHasOutcome) {
            mHasOutcome = true;
            mEndpoint.breaker().failed(Optional.empty());
            mEndpoint.suspicion().lost();
        }
    }

    @Override
    public synchronized void cancelled() {
        if (!mHasOutcome) {
            mHasOutcome = true;
            mEndpoint.breaker().cancelled();
        }
    }

    @Override
    public synchronized void close() {
        if (mIsClosed) {
            return;
        }
        mIsClosed = true;
        cancelled();
        stopAwaiting();
        mEndpoint.closed(this);
    }

    private void recordPrefix() {
        for (long hash : mProfile.prefixHashes()) {
            mPrefixes.add(mDescription.name(), hash);
        }
        if (!mHasQueuedPrefixUpdate && mProfile.sharedBlocks() > 0) {
            mHasQueuedPrefixUpdate = true;
            long hash = mProfile.prefixHashes()[mProfile.sharedBlocks() - 1];
            mPrefixUpdates.add(new PrefixUpdate(mDescription.name(), hash));
        }
    }
}
