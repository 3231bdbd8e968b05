package org.sesamedeck.request;

import java.util.OptionalLong;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.Router;

/**
 * Decides whether prefill runs on an engine of the prefill role and decode on another engine.
 * Prefill on an engine that is decoding delays every token of the responses there, so the phases
 * are split unless the prefill engines have so long a backlog that the whole request would start
 * much sooner at one engine.
 */
final class PhaseSplitPolicy {
    /**
     * Factor by which the whole request must start sooner at one engine. Responses that shared
     * their engine with prefill had token intervals several times as long, and the longest missed
     * their deadlines.
     */
    private static final double INTERFERENCE_FACTOR = 6;

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
     * Returns the first phase of a request.
     *
     * @param mayPrefill whether a separate prefill is still allowed
     */
    RequestPhase firstPhase(RequestProfile profile, boolean mayPrefill) {
        if (!mIsEnabled || !mayPrefill || !profile.isModelRequest()) {
            return RequestPhase.WHOLE;
        }
        return prefersSplit(
                        mRouter.expectedStartNanos(profile, RequestPhase.WHOLE),
                        mRouter.expectedStartNanos(profile, RequestPhase.PREFILL))
                ? RequestPhase.PREFILL
                : RequestPhase.WHOLE;
    }

    private boolean prefersSplit(OptionalLong wholeNanos, OptionalLong prefillNanos) {
        if (prefillNanos.isEmpty() || wholeNanos.isEmpty()) {
            return false;
        }
        return prefillNanos.getAsLong() + mTransferNanos
                < wholeNanos.getAsLong() * INTERFERENCE_FACTOR;
    }
}
