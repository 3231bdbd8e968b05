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

    /** Time for which the other processes are told of evidence, several rounds of the exchange. */
    private static final long TOLD_NANOS = Duration.ofSeconds(1).toNanos();

    /** Silence that is never suspicious, as responses of busy endpoints arrive in batches. */
    private static final long MIN_SILENCE_NANOS = Duration.ofMillis(500).toNanos();

    /** Multiple of the expected time to the first response that counts as silence. */
    private static final double SILENCE_FACTOR = 3;

    /** A single process may be cut off itself, and would then suspect all endpoints. */
    private static final int MIN_SUSPECTING_PEERS = 2;

    private final Clock mClock;
    private final double mSpread;
    private long mIntervalNanos;
    private long mSinceNanos;
    private long mUntilNanos;
    private boolean mHasEvidence;
    private long mEvidenceAtNanos;
    private int mAwaited;
    private long mSilentSinceNanos;
    private long mSilenceLimitNanos;

    /**
     * Creates a suspicion without evidence.
     *
     * @param spread random part of this process, as a multiple of each interval, 0 to 1
     */
    EndpointSuspicion(Clock clock, double spread) {
        mClock = clock;
        mSpread = spread;
        mUntilNanos = clock.nanoTime();
    }

    /**
     * Records a request whose first response is awaited.
     *
     * @param expectedNanos expected time until then
     */
    synchronized void awaits(double expectedNanos) {
        if (mAwaited == 0) {
            mSilentSinceNanos = mClock.nanoTime();
            mSilenceLimitNanos = 0;
        }
        mAwaited++;
        long limit = MIN_SILENCE_NANOS + (long) (SILENCE_FACTOR * expectedNanos);
        mSilenceLimitNanos = Math.max(mSilenceLimitNanos, limit);
    }

    /** Records that a request is no longer awaited, with or without a response. */
    synchronized void awaitsNoLonger() {
        if (isSilent()) {
            lost();
        }
        mAwaited--;
    }

    /** Records that the endpoint has responded. */
    synchronized void responded() {
        long now = mClock.nanoTime();
        mSilentSinceNanos = now;
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
     * Applies the evidence of the other processes.
     *
     * @param suspecting how many of them have evidence now
     * @param processes number of processes that send work, including this one
     */
    synchronized void updatePeers(int suspecting, int processes) {
        if (suspecting >= Math.max(1, Math.min(MIN_SUSPECTING_PEERS, processes - 1))) {
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

    /** Returns whether this process has evidence of its own that the others are told of. */
    synchronized boolean hasEvidence() {
        boolean isRecent = mClock.nanoTime() - mEvidenceAtNanos < TOLD_NANOS;
        return mHasEvidence && isRecent || isSilent();
    }

    /** Returns whether the endpoint is suspected. */
    synchronized boolean isActive() {
        return mUntilNanos - mClock.nanoTime() > 0 || isSilent();
    }

    private boolean isSilent() {
        return mAwaited > 0 && mClock.nanoTime() - mSilentSinceNanos > mSilenceLimitNanos;
    }
}
