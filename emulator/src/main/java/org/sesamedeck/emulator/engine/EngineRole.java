package org.sesamedeck.emulator.engine;

import java.util.Locale;

/**
 * Workload for which an emulated engine is tuned. A prefill engine processes prompts faster but
 * decodes slowly and in small batches. A decode engine runs larger batches at a lower cost per step
 * but processes prompts slowly. A mixed engine has a higher cost for steps that combine prefill and
 * decoding.
 */
public enum EngineRole {
    PREFILL(1.25, 2.0, 0.25, 1.0),
    DECODE(0.4, 0.8, 2.0, 1.0),
    MIXED(1.0, 1.0, 1.0, 1.2);

    private final double mPrefillRateFactor;
    private final double mDecodeCostFactor;
    private final double mBatchSizeFactor;
    private final double mInterferenceFactor;

    EngineRole(
            double prefillRateFactor,
            double decodeCostFactor,
            double batchSizeFactor,
            double interferenceFactor) {
        mPrefillRateFactor = prefillRateFactor;
        mDecodeCostFactor = decodeCostFactor;
        mBatchSizeFactor = batchSizeFactor;
        mInterferenceFactor = interferenceFactor;
    }

    /**
     * Parses a role name, ignoring case.
     *
     * @throws IllegalArgumentException if there is no such role
     */
    public static EngineRole parse(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /** Returns the name in lower case, as used in the engine's HTTP interface. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    int batchSize(EngineSettings settings) {
        return Math.max(1, (int) Math.round(settings.batchSize() * mBatchSizeFactor));
    }

    /** Returns the duration of a step that does the given work, in nanoseconds. */
    long stepNanos(EngineSettings settings, int promptTokens, int decodingSequences) {
        double prefill =
                promptTokens / (settings.prefillTokensPerSecond() * mPrefillRateFactor) * 1e9;
        double decode =
                decodingSequences == 0
                        ? 0
                        : (settings.decodeBaseDuration().toNanos()
                                        + (double) settings.decodeSequenceDuration().toNanos()
                                                * decodingSequences)
                                * mDecodeCostFactor;
        double factor = prefill > 0 && decode > 0 ? mInterferenceFactor : 1.0;
        return Math.round((prefill + decode) * factor);
    }
}
