package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/** One attempt of a request at one endpoint. */
final class RoutedAssignment implements Assignment {
    /** Shorter prompts and answers and smaller batches measure fixed costs, not tokens. */
    private static final double MIN_PROMPT_TOKENS = 512;

    private static final double MIN_BATCH = 16;
    private static final long MIN_OUTPUT_TOKENS = 16;

    private final Clock mClock;
    private final PrefixIndex mPrefixes;
    private final PlacementNews mNews;
    private final EngineTimeEstimator mEstimator;
    private final RequestProfile mProfile;
    private final EndpointState mEndpoint;
    private final EndpointDescription mDescription;
    private final RequestPhase mPhase;
    private final double mUncachedTokens;
    private final double mPromptNanos;
    private final long mAssignedAtNanos;
    private final boolean mWasIdle;
    private double mUnstartedNanos;
    private boolean mSinceReport = true;
    private boolean mHasOutcome;
    private boolean mIsClosed;
    private boolean mIsRemembered;
    private long mFirstTokenAtNanos;

    RoutedAssignment(
            Clock clock,
            PrefixIndex prefixes,
            PlacementNews news,
            EngineTimeEstimator estimator,
            RequestProfile profile,
            EndpointState endpoint,
            RequestPhase phase,
            double uncachedTokens) {
        mClock = clock;
        mPrefixes = prefixes;
        mNews = news;
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
                                : endpoint.plainNanos();
        mUnstartedNanos = mPromptNanos;
        mAssignedAtNanos = clock.nanoTime();
        mWasIdle = endpoint.isIdle();
        endpoint.assigned(this);
    }

    double promptNanos() {
        return mPromptNanos;
    }

    long assignedAtNanos() {
        return mAssignedAtNanos;
    }

    // The following four are called under the lock of the endpoint's state only.

    double unstartedNanos() {
        return mUnstartedNanos;
    }

    double takeUnstartedNanos() {
        double nanos = mUnstartedNanos;
        mUnstartedNanos = 0;
        return nanos;
    }

    boolean isSinceReport() {
        return mSinceReport;
    }

    boolean leaveSinceReport() {
        boolean was = mSinceReport;
        mSinceReport = false;
        return was;
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
        mEndpoint.started(this);
        rememberPrefix();
    }

    @Override
    public void progressed(int tokens, long nanos) {
        mEndpoint.learnPace(tokens, nanos);
    }

    @Override
    public synchronized void succeeded(long promptTokens, long outputTokens) {
        if (mHasOutcome) {
            return;
        }
        mHasOutcome = true;
        mEndpoint.breaker().succeeded();
        rememberPrefix();
        long now = mClock.nanoTime();
        long first = mFirstTokenAtNanos == 0 ? now : mFirstTokenAtNanos;
        boolean hasPrompt = mPhase != RequestPhase.DECODE && mFirstTokenAtNanos != 0;
        mEndpoint.learn(
                mProfile.isModelRequest(),
                hasPrompt ? mUncachedTokens : 0,
                outputTokens,
                first - mAssignedAtNanos,
                now - first,
                mWasIdle);
        learnCost(hasPrompt, first - mAssignedAtNanos, outputTokens, now - first);
    }

    /** Engine time of a token: of the prompt alone, and of one answer's part of a large batch. */
    private void learnCost(
            boolean hasPrompt, long prefillNanos, long outputTokens, long decodeNanos) {
        if (!mProfile.isModelRequest()) {
            return;
        }
        double prompt =
                hasPrompt && mWasIdle && mUncachedTokens >= MIN_PROMPT_TOKENS
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
        mEndpoint.closed(this);
    }

    private void rememberPrefix() {
        for (long hash : mProfile.prefixHashes()) {
            mPrefixes.add(mDescription.name(), hash);
        }
        if (!mIsRemembered && mProfile.sharedBlocks() > 0) {
            mIsRemembered = true;
            long hash = mProfile.prefixHashes()[mProfile.sharedBlocks() - 1];
            mNews.add(new PrefixPlacement(mDescription.name(), hash));
        }
    }
}
