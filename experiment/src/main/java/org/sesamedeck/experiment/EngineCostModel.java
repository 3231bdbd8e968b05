package org.sesamedeck.experiment;

import org.sesamedeck.routing.EngineRates;

/**
 * Cost model of the simulated engine. A step processes a chunk of prompt tokens and one token of
 * every running response. A step that does both is slower than the sum of its parts, which is why
 * separate prefill and decode engines pay off.
 */
final class EngineCostModel {
    static final double STEP_OVERHEAD_MILLIS = 6.0;
    static final double DECODE_MILLIS_PER_SEQUENCE = 0.12;
    static final double PREFILL_MILLIS_PER_TOKEN = 0.04;
    static final double MIXED_STEP_SLOWDOWN = 1.25;
    static final int MAX_BATCH_SEQUENCES = 160;
    static final int MAX_CHUNK_TOKENS = 2048;
    static final int MIN_CHUNK_TOKENS = 64;

    /**
     * Step duration for which a mixed engine sizes its chunks; below the strictest token interval
     * goal, 31 ms.
     */
    static final double MIXED_STEP_TARGET_MILLIS = 28.0;

    /** Engine time of a prompt token on a prefill engine that fills its chunks, in microseconds. */
    static final double PREFILL_MICROS_PER_TOKEN =
            1_000 * (STEP_OVERHEAD_MILLIS / MAX_CHUNK_TOKENS + PREFILL_MILLIS_PER_TOKEN);

    /** Engine time of an output token on a decode engine with a full batch, in microseconds. */
    static final double DECODE_MICROS_PER_TOKEN =
            1_000 * (STEP_OVERHEAD_MILLIS / MAX_BATCH_SEQUENCES + DECODE_MILLIS_PER_SEQUENCE);

    private EngineCostModel() {}

    /** Returns the work of a request in seconds of engines in the matching roles. */
    static double workSeconds(long promptTokens, long outputTokens) {
        return (promptTokens * PREFILL_MICROS_PER_TOKEN + outputTokens * DECODE_MICROS_PER_TOKEN)
                / 1e6;
    }

    static EngineRates rates() {
        return new EngineRates(1e6 / PREFILL_MICROS_PER_TOKEN, 1e6 / DECODE_MICROS_PER_TOKEN, 0.7);
    }
}
