package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * Determines from the traffic of one process whether a service needs one more prefill engine or one
 * more decode engine. Not thread-safe.
 *
 * <p>One process does not know the demand of the whole fleet, but every process observes the same
 * two signals: how long prompts wait for a prefill engine, and the token interval of responses.
 * Long prompt waits with short token intervals mean that one more prefill engine is needed, long
 * token intervals with short prompt waits that one more decode engine is needed. A wide range in
 * between causes no change, since each change takes an engine out of service for seconds. Both
 * signals are averaged over the last seconds, so that one long prompt does not count as a queue.
 */
public final class PhaseBalance {
    private static final double AVERAGING_SECONDS = 2.5;

    /** The mean of fewer samples is not used. */
    private static final double MIN_SAMPLES = 6;

    private static final double LONG_WAIT_NANOS = Duration.ofMillis(150).toNanos();
    private static final double SHORT_WAIT_NANOS = Duration.ofMillis(40).toNanos();

    /** Time of the network and of the first engine step, in addition to the time of the tokens. */
    private static final long FIXED_OVERHEAD_NANOS = Duration.ofMillis(30).toNanos();

    /** Fractions of the token interval target. */
    private static final double SHORT_TOKEN_INTERVAL_RATIO = 0.18;

    private static final double LONG_TOKEN_INTERVAL_RATIO = 0.32;

    /** The time of shorter prompts depends more on the network than on the engine. */
    private static final int MIN_PROMPT_TOKENS = 1_500;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final DecayingMean mPromptWait;
    private final DecayingMean mTokenIntervalRatio;

    /**
     * Shortest time per token of a long prompt so far; taken as the processing time per token of a
     * prompt that did not wait.
     */
    private double mMinNanosPerToken = Double.POSITIVE_INFINITY;

    private PhaseBalance(Clock clock) {
        mClock = clock;
        mPromptWait = new DecayingMean();
        mTokenIntervalRatio = new DecayingMean();
    }

    /** Returns a balance without samples. */
    public static PhaseBalance create(Clock clock) {
        return new PhaseBalance(clock);
    }

    /**
     * Records the time that a prefill engine took for a prompt, including the wait in its queue.
     */
    public void promptProcessed(int promptTokens, Duration duration) {
        if (promptTokens >= MIN_PROMPT_TOKENS) {
            mMinNanosPerToken =
                    Math.min(mMinNanosPerToken, duration.toNanos() / (double) promptTokens);
        }
        if (Double.isFinite(mMinNanosPerToken)) {
            double work = promptTokens * mMinNanosPerToken;
            mPromptWait.add(Math.max(0, duration.toNanos() - work - FIXED_OVERHEAD_NANOS));
        }
    }

    /**
     * Records the token interval of a response.
     *
     * @param tokenInterval mean time between its stream events
     * @param tokenIntervalTarget longest mean token interval that counts as on time
     */
    public void recordTokenInterval(Duration tokenInterval, Duration tokenIntervalTarget) {
        mTokenIntervalRatio.add(
                tokenInterval.toNanos() / (double) Math.max(1, tokenIntervalTarget.toNanos()));
    }

    /** Returns the role of which one more engine is needed, if any. */
    public Optional<EndpointRole> neededRole() {
        if (!mPromptWait.isKnown() || !mTokenIntervalRatio.isKnown()) {
            return Optional.empty();
        }
        if (mPromptWait.mean() > LONG_WAIT_NANOS
                && mTokenIntervalRatio.mean() < SHORT_TOKEN_INTERVAL_RATIO) {
            return Optional.of(EndpointRole.PREFILL);
        }
        if (mPromptWait.mean() < SHORT_WAIT_NANOS
                && mTokenIntervalRatio.mean() > LONG_TOKEN_INTERVAL_RATIO) {
            return Optional.of(EndpointRole.DECODE);
        }
        return Optional.empty();
    }

    /** Returns the mean wait of prompts over the last seconds; zero when unknown. */
    public Duration promptWait() {
        return Duration.ofNanos((long) (mPromptWait.isKnown() ? mPromptWait.mean() : 0));
    }

    /** Returns the mean token interval as a fraction of its target; 0 when unknown. */
    public double meanTokenIntervalRatio() {
        return mTokenIntervalRatio.isKnown() ? mTokenIntervalRatio.mean() : 0;
    }

    /** Mean with exponentially decaying weights over time. */
    private final class DecayingMean {
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
            double factor = Math.exp(-(now - mAtNanos) / NANOS_PER_SECOND / AVERAGING_SECONDS);
            mSum *= factor;
            mWeight *= factor;
            mAtNanos = now;
        }
    }
}
