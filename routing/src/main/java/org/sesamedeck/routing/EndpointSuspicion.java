package org.sesamedeck.routing;

import java.time.Duration;
import org.sesamedeck.core.Clock;

/**
 * Decides whether an endpoint is suspected to lose the requests that it receives, without an answer
 * that says so.
 *
 * <p>Load it answers: an endpoint that resets its connections or has stopped responding, in front
 * of many processes. A circuit breaker needs several failures in each process, so that the fleet
 * loses that many requests times its size. Here one loss in this process is enough, and so are
 * losses in a few others; the consequence is milder: only requests that could not be repeated avoid
 * the endpoint, and only while others are not suspected.
 *
 * <p>Evidence is a request that was sent and got no answer, silence, which means that nothing was
 * heard from the endpoint for several times as long as a first response should take, and the
 * evidence of a few other processes. A suspicion lasts longer each time it comes back, and each
 * process adds a random part, so that a few of them find out first whether the endpoint responds
 * again. A response ends the suspicion of this process. Thread-safe.
 */
final class EndpointSuspicion {
    private static final long INITIAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long MAX_NANOS = Duration.ofSeconds(4).toNanos();

    /** Time for which evidence is sent to the other processes, several rounds of the exchange. */
    private static final long EVIDENCE_LIFETIME_NANOS = Duration.ofSeconds(1).toNanos();

    /** Silence that is never suspicious, as responses of busy endpoints arrive in batches. */
    private static final long MIN_SILENCE_NANOS = Duration.ofMillis(500).toNanos();

    /** Multiple of the expected time to the first response that counts as silence. */
    private static final double SILENCE_FACTOR = 3;

    /** A response of this age is taken to be newer than the evidence of others. */
    private static final long FRESH_RESPONSE_NANOS = Duration.ofMillis(300).toNanos();

    /** A single process may be cut off itself, and would then suspect all endpoints. */
    private static final int MIN_SUSPECTING_PEERS = 2;

    private final Clock mClock;
    private final double mSpread;
    private final boolean mSharesSilence;
    private long mIntervalNanos;
    private long mSinceNanos;
    private long mUntilNanos;
    private boolean mHasEvidence;
    private long mEvidenceAtNanos;
    private int mAwaited;
    private long mSilentSinceNanos;
    private long mSilenceLimitNanos;
    private long mRespondedAtNanos;
    private boolean mHasRespondedSinceLimit;

    /**
     * Creates a suspicion without evidence.
     *
     * @param spread random part of this process, as a multiple of each interval, 0 to 1
     * @param sharesSilence whether silence is evidence for other processes too; at an endpoint that
     *     responds only when a request is done, one long request of each is as silent
     */
    EndpointSuspicion(Clock clock, double spread, boolean sharesSilence) {
        mClock = clock;
        mSpread = spread;
        mSharesSilence = sharesSilence;
        mRespondedAtNanos = clock.nanoTime() - FRESH_RESPONSE_NANOS;
        mUntilNanos = clock.nanoTime();
    }

    /**
     * Records a request whose first response is awaited. While nothing is heard, later requests do
     * not raise the limit: the queue that they wait in may be the result of the silence.
     *
     * @param expectedNanos expected time until then
     */
    synchronized void awaits(double expectedNanos) {
        if (mAwaited == 0) {
            mSilentSinceNanos = mClock.nanoTime();
        }
        if (mAwaited == 0 || mHasRespondedSinceLimit) {
            mSilenceLimitNanos = MIN_SILENCE_NANOS + (long) (SILENCE_FACTOR * expectedNanos);
            mHasRespondedSinceLimit = false;
        }
        mAwaited++;
    }

    /** Records that a request is no longer awaited, with or without a response. */
    synchronized void awaitsNoLonger() {
        if (isSilent()) {
            suspect();
            mHasEvidence |= mSharesSilence;
            mEvidenceAtNanos = mClock.nanoTime();
        }
        mAwaited--;
    }

    /** Ends the suspicion and the evidence of this process. */
    synchronized void responded() {
        long now = mClock.nanoTime();
        mSilentSinceNanos = now;
        mRespondedAtNanos = now;
        mHasRespondedSinceLimit = true;
        mHasEvidence = false;
        if (mUntilNanos - now > 0) {
            mUntilNanos = now;
        }
    }

    /** Records a request that was sent and got no answer or only a part of one. */
    synchronized void lost() {
        mHasEvidence = true;
        mEvidenceAtNanos = mClock.nanoTime();
        suspect();
    }

    /**
     * Applies the evidence of the other processes, unless this one has just had a response.
     *
     * @param suspecting how many of them have evidence now
     * @param processes number of processes that send work, including this one
     */
    synchronized void updatePeers(int suspecting, int processes) {
        int needed = Math.max(1, Math.min(MIN_SUSPECTING_PEERS, processes - 1));
        boolean hasFreshResponse =
                !mHasEvidence && mClock.nanoTime() - mRespondedAtNanos < FRESH_RESPONSE_NANOS;
        if (suspecting >= needed && !hasFreshResponse) {
            suspect();
        }
    }

    /** Evidence that follows within an interval belongs to the same failure. */
    private void suspect() {
        long now = mClock.nanoTime();
        boolean isSameFailure = mUntilNanos - now > 0 && now - mSinceNanos < mIntervalNanos;
        if (!isSameFailure) {
            boolean isRepeated = mIntervalNanos > 0 && now - mUntilNanos < MAX_NANOS;
            mIntervalNanos = isRepeated ? Math.min(MAX_NANOS, mIntervalNanos * 2) : INITIAL_NANOS;
            mSinceNanos = now;
        }
        mUntilNanos = now + (long) (mIntervalNanos * (1 + mSpread));
    }

    /** Returns whether this process has evidence of its own to send to the others. */
    synchronized boolean hasEvidence() {
        boolean isRecent = mClock.nanoTime() - mEvidenceAtNanos < EVIDENCE_LIFETIME_NANOS;
        return mHasEvidence && isRecent || mSharesSilence && isSilent();
    }

    /** Returns whether the endpoint is suspected. */
    synchronized boolean isActive() {
        return mUntilNanos - mClock.nanoTime() > 0 || isSilent();
    }

    private boolean isSilent() {
        return mAwaited > 0 && mClock.nanoTime() - mSilentSinceNanos > mSilenceLimitNanos;
    }
}
