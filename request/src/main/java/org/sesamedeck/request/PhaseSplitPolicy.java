package org.sesamedeck.request;

import java.util.OptionalLong;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.Router;

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

    private final Router mRouter;
    private final boolean mIsEnabled;
    private final long mTransferNanos;

    private PhaseSplitPolicy(Router router, boolean isEnabled, long transferNanos) {
        mRouter = router;
        mIsEnabled = isEnabled;
        mTransferNanos = transferNanos;
    }

    static PhaseSplitPolicy of(Router router, RequestSettings settings) {
        return new PhaseSplitPolicy(
                router, settings.splitsPhases(), settings.transferTime().toNanos());
    }

    /**
     * Returns the phase with which a request begins.
     *
     * @param mayPrefill whether the prompt may still be processed apart
     */
    RequestPhase firstPhase(RequestProfile profile, boolean mayPrefill) {
        if (!mIsEnabled || !mayPrefill || !profile.isModelRequest()) {
            return RequestPhase.WHOLE;
        }
        return splits(
                        mRouter.expectedStartNanos(profile, RequestPhase.WHOLE),
                        mRouter.expectedStartNanos(profile, RequestPhase.PREFILL))
                ? RequestPhase.PREFILL
                : RequestPhase.WHOLE;
    }

    private boolean splits(OptionalLong wholeNanos, OptionalLong prefillNanos) {
        if (prefillNanos.isEmpty() || wholeNanos.isEmpty()) {
            return false;
        }
        return prefillNanos.getAsLong() + mTransferNanos < wholeNanos.getAsLong() * DISTURBANCE;
    }
}
