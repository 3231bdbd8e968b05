package org.sesamedeck.routing;

import java.time.Duration;
import org.sesamedeck.core.Clock;

/**
 * Speed as the product of two parts with different lifetimes.
 *
 * <p>Endpoints of one service differ in speed for good, and their hosts are slowed down for
 * fractions of a second by other work. The lasting part is the mean logarithm of the observed
 * ratios; it counts as much as the number of observations behind it, so that one slow response does
 * not exclude an endpoint, and fades over minutes, so that a faster endpoint is tried again. The
 * current part is the pace that the endpoint reported last and returns to usual within a fraction
 * of a second, since the report says nothing about the time after that. Observations are divided by
 * the pace under which they were made; otherwise, a host that was slow for a moment would count as
 * a slow endpoint for minutes.
 */
final class LearnedSpeed implements SpeedEstimate {
    /** Decay time of a reported pace, which changes many times a second. */
    private static final double PACE_DECAY_NANOS = Duration.ofMillis(300).toNanos();

    private static final double LASTING_DECAY_NANOS = Duration.ofMinutes(2).toNanos();

    /** Weight of the assumption that an endpoint is average. */
    private static final double PRIOR_WEIGHT = 1;

    /** Bounds the past, so that an endpoint that has changed is known after as many requests. */
    private static final double MAX_WEIGHT = 20;

    /** An observation beyond this is a wait or a fault rather than a speed. */
    private static final double MAX_RATIO = 4;

    private static final double MAX_PACE = 10;

    private final Clock mClock;
    private double mLogSum;
    private double mWeight;
    private long mLearnedAtNanos;
    private double mPace = 1;
    private long mPaceAtNanos;

    LearnedSpeed(Clock clock) {
        mClock = clock;
        mLearnedAtNanos = clock.nanoTime();
        mPaceAtNanos = mLearnedAtNanos;
    }

    @Override
    public void learn(double ratio, double weight, double pace) {
        double lasting = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio / pace));
        double kept = fading() * Math.min(1, (MAX_WEIGHT - weight) / Math.max(weight, mWeight));
        mLearnedAtNanos = mClock.nanoTime();
        mLogSum = mLogSum * kept + weight * Math.log(lasting);
        mWeight = mWeight * kept + weight;
    }

    private double fading() {
        return Math.exp((mLearnedAtNanos - mClock.nanoTime()) / LASTING_DECAY_NANOS);
    }

    @Override
    public void paceReported(double pace, long observedAtNanos) {
        mPace = Math.max(1 / MAX_PACE, Math.min(MAX_PACE, pace));
        mPaceAtNanos = observedAtNanos;
    }

    @Override
    public double pace() {
        double age = Math.max(0, mClock.nanoTime() - mPaceAtNanos);
        return 1 + (mPace - 1) * Math.exp(-age / PACE_DECAY_NANOS);
    }

    @Override
    public double factor() {
        double fading = fading();
        return Math.exp(mLogSum * fading / (mWeight * fading + PRIOR_WEIGHT)) * pace();
    }
}
