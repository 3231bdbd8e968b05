package org.sesamedeck.routing;

/**
 * Learned time of work at an average endpoint of one service and role. All endpoints contribute,
 * since one process sends each of them few requests. Thread-safe.
 *
 * <p>The time to the first token of a prompt is a line, {@code fixed + perToken * tokens}, by
 * exponentially weighted least squares. A time per token alone would be learned from short prompts,
 * whose time is mostly fixed, and overestimate long ones several times.
 */
final class WorkTimeModel {
    private static final double LEARNING_RATE = 0.05;

    /** Keeps the weight of about the last 200 prompts. */
    private static final double PROMPT_DECAY = 0.995;

    /** Weight of the initial estimate, in prompts. */
    private static final double PRIOR_WEIGHT = 2;

    private static final double PRIOR_TOKENS = 2_000;

    /** An observation beyond this multiple of the expected time is limited to it. */
    private static final double MAX_DEVIATION = 3;

    private static final double INITIAL_SERVICE_NANOS = 10_000_000;

    private double mWeight = PRIOR_WEIGHT;
    private double mTokens;
    private double mNanos;
    private double mSquaredTokens;
    private double mTokensNanos;
    private double mFixedNanos;
    private double mNanosPerToken;
    private double mTokenIntervalNanos;
    private double mServiceNanos = INITIAL_SERVICE_NANOS;

    /**
     * Creates a model.
     *
     * @param settings has the initial estimates
     */
    WorkTimeModel(RouterSettings settings) {
        mNanosPerToken = settings.prefillNanosPerToken();
        mTokenIntervalNanos = settings.decodeNanosPerToken();
        // Half of the weight at no token, half at twice the usual number.
        mTokens = PRIOR_WEIGHT * PRIOR_TOKENS;
        mNanos = mTokens * mNanosPerToken;
        mSquaredTokens = 2 * PRIOR_WEIGHT * PRIOR_TOKENS * PRIOR_TOKENS;
        mTokensNanos = mSquaredTokens * mNanosPerToken;
    }

    /**
     * Learns from a prompt that did not wait, with the endpoint's speed factored out.
     *
     * @param weight 1, or less if the prompt may have waited
     */
    synchronized void learnPrompt(double tokens, double nanos, double weight) {
        double expected = mFixedNanos + mNanosPerToken * tokens;
        double observed = Math.min(nanos, MAX_DEVIATION * expected);
        double kept = Math.pow(PROMPT_DECAY, weight);
        mWeight = mWeight * kept + weight;
        mTokens = mTokens * kept + weight * tokens;
        mNanos = mNanos * kept + weight * observed;
        mSquaredTokens = mSquaredTokens * kept + weight * tokens * tokens;
        mTokensNanos = mTokensNanos * kept + weight * tokens * observed;
        double spread = mWeight * mSquaredTokens - mTokens * mTokens;
        double slope = (mWeight * mTokensNanos - mTokens * mNanos) / spread;
        double offset = (mNanos - slope * mTokens) / mWeight;
        if (!(spread > 0) || slope <= 0 || offset < 0) {
            slope = mTokensNanos / mSquaredTokens;
            offset = 0;
        }
        mNanosPerToken = slope;
        mFixedNanos = offset;
    }

    /** Learns the interval between tokens of a response that runs alone. */
    synchronized void learnTokenInterval(double nanos) {
        mTokenIntervalNanos +=
                LEARNING_RATE
                        * (Math.min(nanos, MAX_DEVIATION * mTokenIntervalNanos)
                                - mTokenIntervalNanos);
    }

    /** Learns the time of a request to a plain service that did not wait. */
    synchronized void learnService(double nanos) {
        mServiceNanos +=
                LEARNING_RATE * (Math.min(nanos, MAX_DEVIATION * mServiceNanos) - mServiceNanos);
    }

    /** Returns the time to the first token of a prompt that does not wait. */
    synchronized double promptNanos(double tokens) {
        return mFixedNanos + mNanosPerToken * tokens;
    }

    /** Returns the time that a prompt token occupies the endpoint. */
    synchronized double nanosPerToken() {
        return mNanosPerToken;
    }

    /** Returns the interval between tokens of a response that runs alone. */
    synchronized double tokenIntervalNanos() {
        return mTokenIntervalNanos;
    }

    /** Returns the time of a request to a plain service. */
    synchronized double serviceNanos() {
        return mServiceNanos;
    }
}
