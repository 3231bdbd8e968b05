package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * Tells from the work of one process whether a service's engines are split well between prompts and
 * answers. Not thread-safe.
 *
 * <p>The demand of the whole fleet is not known to one process, but every process sees the same two
 * queues: how long prompts wait for an engine of the prefill role, and how slowly answers advance.
 * Prompts that wait while answers advance quickly call for one more prefill engine, slow answers
 * without waiting prompts for one more decode engine. Between the two lies a wide range in which
 * nothing changes, since each change takes an engine out of service for seconds. Both figures are
 * means over the last seconds, so that one long prompt does not count as a queue.
 */
public final class PhaseBalance {
    private static final double WINDOW_SECONDS = 2.5;

    /** Fewer samples in the window say nothing. */
    private static final double MIN_SAMPLES = 6;

    private static final double LONG_WAIT_NANOS = Duration.ofMillis(150).toNanos();
    private static final double SHORT_WAIT_NANOS = Duration.ofMillis(40).toNanos();

    /** Network and first step, beside the time of the tokens. */
    private static final long FIXED_NANOS = Duration.ofMillis(30).toNanos();

    /** Parts of the longest pause between events that is still on time. */
    private static final double QUICK_PART = 0.18;

    private static final double SLOW_PART = 0.32;

    /** Shorter prompts measure the network more than the engine. */
    private static final int MIN_PROMPT_TOKENS = 1_500;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final WindowMean mWait;
    private final WindowMean mPause;
    private double mNanosPerToken = Double.POSITIVE_INFINITY;

    private PhaseBalance(Clock clock) {
        mClock = clock;
        mWait = new WindowMean();
        mPause = new WindowMean();
    }

    /** Returns a balance without samples. */
    public static PhaseBalance create(Clock clock) {
        return new PhaseBalance(clock);
    }

    /** Takes the time that an engine of the prefill role took for a prompt, its queue included. */
    public void promptProcessed(int promptTokens, Duration took) {
        if (promptTokens >= MIN_PROMPT_TOKENS) {
            mNanosPerToken = Math.min(mNanosPerToken, took.toNanos() / (double) promptTokens);
        }
        if (Double.isFinite(mNanosPerToken)) {
            double work = promptTokens * mNanosPerToken;
            mWait.add(Math.max(0, took.toNanos() - work - FIXED_NANOS));
        }
    }

    /**
     * Takes the pace of an answer.
     *
     * @param pause mean time between its events
     * @param pauseTarget longest pause that is on time
     */
    public void answered(Duration pause, Duration pauseTarget) {
        mPause.add(pause.toNanos() / (double) Math.max(1, pauseTarget.toNanos()));
    }

    /** Returns the role of which one more engine is needed, if any. */
    public Optional<EndpointRole> needed() {
        if (!mWait.isKnown() || !mPause.isKnown()) {
            return Optional.empty();
        }
        if (mWait.mean() > LONG_WAIT_NANOS && mPause.mean() < QUICK_PART) {
            return Optional.of(EndpointRole.PREFILL);
        }
        if (mWait.mean() < SHORT_WAIT_NANOS && mPause.mean() > SLOW_PART) {
            return Optional.of(EndpointRole.DECODE);
        }
        return Optional.empty();
    }

    /** Returns the mean wait of prompts over the last seconds; zero when unknown. */
    public Duration promptWait() {
        return Duration.ofNanos((long) (mWait.isKnown() ? mWait.mean() : 0));
    }

    /** Returns the mean pause between events as a part of its target; 0 when unknown. */
    public double pausePart() {
        return mPause.isKnown() ? mPause.mean() : 0;
    }

    /** Exponentially weighted mean over time. */
    private final class WindowMean {
        private double mSum;
        private double mWeight;
        private long mAtNanos = mClock.nanoTime();

        void add(double value) {
            decay();
            mSum += value;
            mWeight += 1;
        }

        boolean isKnown() {
            decay();
            return mWeight >= MIN_SAMPLES;
        }

        double mean() {
            return mSum / mWeight;
        }

        private void decay() {
            long now = mClock.nanoTime();
            double factor = Math.exp(-(now - mAtNanos) / NANOS_PER_SECOND / WINDOW_SECONDS);
            mSum *= factor;
            mWeight *= factor;
            mAtNanos = now;
        }
    }
}
