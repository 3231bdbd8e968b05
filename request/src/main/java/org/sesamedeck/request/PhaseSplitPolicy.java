package org.sesamedeck.request;

import java.util.OptionalLong;

/**
 * Decides whether a prompt is processed by an engine of the prefill role before another engine
 * answers. A prompt that is processed where answers run delays every token of those answers, so it
 * is processed apart unless the engines for prompts are so far behind that the whole request would
 * start much sooner at one engine.
 */
final class PhaseSplitPolicy {
    /**
     * How much sooner the whole request must start at one engine. Answers that share their engine
     * with prompts took several times as long between events, and the longest missed their
     * deadlines.
     */
    private static final double DISTURBANCE = 6;

    private final boolean mIsEnabled;
    private final long mTransferNanos;

    private PhaseSplitPolicy(boolean isEnabled, long transferNanos) {
        mIsEnabled = isEnabled;
        mTransferNanos = transferNanos;
    }

    static PhaseSplitPolicy of(RequestSettings settings) {
        return new PhaseSplitPolicy(settings.splitsPhases(), settings.transferTime().toNanos());
    }

    /**
     * Returns whether to split.
     *
     * @param wholeNanos expected start at one engine, if one can take the whole request
     * @param prefillNanos expected end of the prompt at an engine of the prefill role, if there is
     *     one
     */
    boolean splits(OptionalLong wholeNanos, OptionalLong prefillNanos) {
        if (!mIsEnabled || prefillNanos.isEmpty() || wholeNanos.isEmpty()) {
            return false;
        }
        return prefillNanos.getAsLong() + mTransferNanos < wholeNanos.getAsLong() * DISTURBANCE;
    }
}
