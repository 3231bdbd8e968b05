package org.sesamedeck.request;

import org.sesamedeck.core.Clock;

/**
 * Whether the endpoints of a service have lately rejected requests because they were full. Confined
 * to one thread.
 *
 * <p>Endpoints accept requests in order of arrival until their queues are full, and reject the
 * others whatever their rank. While they do so, requests that come after those of other accounts
 * must not be sent: each would take a place in a queue from one of them.
 */
final class ServicePressure {
    private static final double DECAY_NANOS = 1e9;

    /** A service with room rejects few requests, as when one endpoint has a burst. */
    private static final double FULL_FRACTION = 0.3;

    /** About what is left of one rejection after its decay time. */
    private static final double MIN_REJECTED = 0.35;

    private final Clock mClock;
    private double mSent;
    private double mRejected;
    private long mDecayedAtNanos;

    ServicePressure(Clock clock) {
        mClock = clock;
        mDecayedAtNanos = clock.nanoTime();
    }

    /** Records that an endpoint took or rejected a request. */
    void record(boolean isRejected) {
        decay();
        mSent++;
        mRejected += isRejected ? 1 : 0;
    }

    /** Returns whether the endpoints have no room for all requests. */
    boolean isFull() {
        decay();
        return mRejected >= MIN_REJECTED && mRejected >= mSent * FULL_FRACTION;
    }

    private void decay() {
        long now = mClock.nanoTime();
        double factor = Math.exp((mDecayedAtNanos - now) / DECAY_NANOS);
        mDecayedAtNanos = now;
        mSent *= factor;
        mRejected *= factor;
    }
}
