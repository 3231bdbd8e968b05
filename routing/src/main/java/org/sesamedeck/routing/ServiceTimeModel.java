package org.sesamedeck.routing;

/**
 * Learned time of a request to a plain service at an average endpoint. All endpoints contribute,
 * since one process sends each of them few requests. Thread-safe.
 */
final class ServiceTimeModel {
    private static final double LEARNING_RATE = 0.05;

    /** An observation beyond this multiple of the expected time is limited to it. */
    private static final double MAX_DEVIATION = 3;

    private static final double INITIAL_NANOS = 10_000_000;

    private double mNanos = INITIAL_NANOS;

    /** Learns from a request that did not wait, with the endpoint's speed factored out. */
    synchronized void learn(double nanos) {
        mNanos += LEARNING_RATE * (Math.min(nanos, MAX_DEVIATION * mNanos) - mNanos);
    }

    /** Returns the expected time, in nanoseconds. */
    synchronized double nanos() {
        return mNanos;
    }
}
