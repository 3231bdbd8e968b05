package org.sesamedeck.routing;

/** Speed of one engine, as this router has learned it from responses. Not thread-safe. */
final class EngineSpeed {
    private static final double LEARNING_RATE = 0.1;

    /** Shorter prompts measure fixed costs. */
    private static final double MIN_PROMPT_TOKENS = 64;

    /**
     * Even a slow engine receives some responses, since only those show when it is faster again.
     */
    private static final double MIN_DECODE_CAPACITY = 2;

    private final EngineTraits mTraits;
    private double mPrefillNanosPerToken;

    /** Token interval of a response that runs alone. */
    private double mIdleDecodeNanosPerToken;

    EngineSpeed(RouterSettings settings) {
        mTraits = settings.traits();
        mPrefillNanosPerToken = settings.prefillNanosPerToken();
        mIdleDecodeNanosPerToken = settings.decodeNanosPerToken();
    }

    /** Learns from a prompt that did not wait, as far as it is known. */
    void learnPrompt(double uncachedTokens, long prefillNanos) {
        if (uncachedTokens < MIN_PROMPT_TOKENS) {
            return;
        }
        double sample = prefillNanos / uncachedTokens;
        // A measured time is never below the processing time, but often includes a wait for a
        // batch: low samples have full weight, high ones a tenth.
        double rate = sample < mPrefillNanosPerToken ? LEARNING_RATE : LEARNING_RATE / 10;
        mPrefillNanosPerToken += rate * (sample - mPrefillNanosPerToken);
    }

    /**
     * Learns from the time of some tokens of a response.
     *
     * @param running responses that the engine generates at once
     */
    void learnTokenInterval(long tokens, long nanos, double running) {
        double sample = (double) nanos / tokens / (1 + running / mTraits.batchScale());
        mIdleDecodeNanosPerToken += LEARNING_RATE * (sample - mIdleDecodeNanosPerToken);
    }

    double prefillNanosPerToken() {
        return mPrefillNanosPerToken;
    }

    double idleDecodeNanosPerToken() {
        return mIdleDecodeNanosPerToken;
    }

    /** Returns the time between tokens while a number of responses is generated. */
    double decodeNanosPerToken(double running) {
        return mIdleDecodeNanosPerToken * (1 + running / mTraits.batchScale());
    }

    /** Returns how many responses can be generated within the token interval limit. */
    double decodeCapacity() {
        double capacity =
                (mTraits.tokenIntervalLimitNanos() / mIdleDecodeNanosPerToken - 1)
                        * mTraits.batchScale();
        return Math.max(MIN_DECODE_CAPACITY, capacity);
    }
}
