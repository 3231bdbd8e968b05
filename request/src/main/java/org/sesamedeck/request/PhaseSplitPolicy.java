package org.sesamedeck.request;

import java.util.OptionalLong;

/**
 * Decides whether a prompt is processed by an engine of the prefill role before another engine
 * answers. It is when that brings the first token sooner, the transfer of the KV cache included;
 * under equal waits this holds for long prompts, of which little is cached where the answer runs.
 */
final class PhaseSplitPolicy {
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
        return prefillNanos.getAsLong() + mTransferNanos < wholeNanos.getAsLong();
    }
}
