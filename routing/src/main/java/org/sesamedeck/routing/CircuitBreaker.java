package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * Stops sending requests to a failing endpoint. It opens after 5 consecutive failures, when half of
 * the last 20 requests failed, or when the endpoint asks for a retry-after delay; after the open
 * interval, it allows one probe request at a time. Thread-safe.
 */
public final class CircuitBreaker {
    private static final int CONSECUTIVE_FAILURE_THRESHOLD = 5;
    private static final int OUTCOME_WINDOW = 20;
    private static final int WINDOW_FAILURE_THRESHOLD = 10;
    private static final long INITIAL_BACKOFF_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(30).toNanos();

    /**
     * Upper bound on how long an endpoint can take itself out of service by a retry-after delay.
     */
    private static final long MAX_RETRY_AFTER_NANOS = Duration.ofMinutes(5).toNanos();

    private final Clock mClock;
    private int mConsecutiveFailures;

    /** One bit for each of the latest outcomes, the last one lowest; 1 is a failure. */
    private int mFailureBits;

    private int mOutcomeCount;
    private long mBackoffNanos = INITIAL_BACKOFF_NANOS;
    private long mOpenUntilNanos;
    private boolean mProbeInFlight;
    private volatile boolean mOpen;

    private CircuitBreaker(Clock clock) {
        mClock = clock;
    }

    /** Returns a closed circuit breaker. */
    public static CircuitBreaker create(Clock clock) {
        return new CircuitBreaker(clock);
    }

    /** Returns whether a request may be sent now, without acquiring a permission. */
    public boolean allows() {
        if (!mOpen) {
            return true;
        }
        synchronized (this) {
            return !mOpen || !mProbeInFlight && mClock.nanoTime() - mOpenUntilNanos >= 0;
        }
    }

    /** Returns the time until a probe is allowed, in nanoseconds; 0 when the breaker is closed. */
    synchronized long nanosUntilProbe() {
        return mOpen ? Math.max(0, mOpenUntilNanos - mClock.nanoTime()) : 0;
    }

    /**
     * Acquires permission to send a request. While the breaker is open, the permission is for the
     * single probe, which must end with one of the outcome methods.
     */
    public boolean tryAcquire() {
        if (!mOpen) {
            return true;
        }
        synchronized (this) {
            if (!allows()) {
                return false;
            }
            mProbeInFlight = mOpen;
            return true;
        }
    }

    /** Records a success and closes the breaker. */
    public synchronized void succeeded() {
        mConsecutiveFailures = 0;
        if (mOpen) {
            if (!mProbeInFlight) {
                return;
            }
            mOpen = false;
            mProbeInFlight = false;
            mFailureBits = 0;
            mOutcomeCount = 0;
            mBackoffNanos = INITIAL_BACKOFF_NANOS;
        }
        addOutcome(0);
    }

    /**
     * Records a failure.
     *
     * @param retryAfter retry-after delay that the endpoint asked for; capped at 5 minutes
     */
    public synchronized void failed(Optional<Duration> retryAfter) {
        mConsecutiveFailures++;
        addOutcome(1);
        boolean isProbe = mOpen && mProbeInFlight;
        if (isProbe) {
            mBackoffNanos = Math.min(MAX_BACKOFF_NANOS, mBackoffNanos * 2);
        }
        boolean isThresholdReached =
                mConsecutiveFailures >= CONSECUTIVE_FAILURE_THRESHOLD
                        || mOutcomeCount >= OUTCOME_WINDOW
                                && Integer.bitCount(mFailureBits) >= WINDOW_FAILURE_THRESHOLD;
        if (!isProbe && !isThresholdReached && retryAfter.isEmpty()) {
            return;
        }
        long retryAfterNanos =
                retryAfter
                        .map(value -> Math.max(0, Math.min(value.toNanos(), MAX_RETRY_AFTER_NANOS)))
                        .orElse(0L);
        long openNanos =
                Math.max(retryAfterNanos, isProbe || isThresholdReached ? mBackoffNanos : 0);
        long openUntil = mClock.nanoTime() + openNanos;
        if (!mOpen || isProbe || openUntil - mOpenUntilNanos > 0) {
            mOpenUntilNanos = openUntil;
        }
        mOpen = true;
        mProbeInFlight = false;
    }

    /** Records that a request ended without an outcome that tells whether the endpoint works. */
    public synchronized void cancelled() {
        mProbeInFlight = false;
    }

    /** Returns whether the breaker is open. */
    public boolean isOpen() {
        return mOpen;
    }

    private void addOutcome(int failureBit) {
        mFailureBits = (mFailureBits << 1 | failureBit) & ((1 << OUTCOME_WINDOW) - 1);
        mOutcomeCount = Math.min(OUTCOME_WINDOW, mOutcomeCount + 1);
    }
}
