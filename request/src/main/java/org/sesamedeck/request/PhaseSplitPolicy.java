package org.sesamedeck.request;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.LossAvoidance;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.RoutingExplanation;
import org.sesamedeck.routing.locality.HostLocation;

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
     * Returns the next phase of a request.
     *
     * @param prompt the processed prompt, if there is one
     * @param mayPrefill whether a separate prefill is still allowed
     */
    RequestPhase nextPhase(
            RequestProfile profile, Optional<ProcessedPrompt> prompt, boolean mayPrefill) {
        if (prompt.isPresent()) {
            return RequestPhase.DECODE;
        }
        return mayPrefill
                ? unprocessedPhase(profile, phase -> mRouter.expectedStartNanos(profile, phase))
                : RequestPhase.WHOLE;
    }

    private RequestPhase unprocessedPhase(
            RequestProfile profile, Function<RequestPhase, OptionalLong> expectedStartNanos) {
        boolean isSplit =
                mIsEnabled
                        && profile.isModelRequest()
                        && prefersSplit(
                                expectedStartNanos.apply(RequestPhase.WHOLE),
                                expectedStartNanos.apply(RequestPhase.PREFILL));
        return isSplit ? RequestPhase.PREFILL : RequestPhase.WHOLE;
    }

    /** Returns the phase that a new request would begin with now; changes no later decision. */
    RequestPhase firstPhase(RequestProfile profile) {
        return unprocessedPhase(
                profile,
                phase ->
                        mRouter.explain(profile, phase, mRouter.suspected(profile, phase))
                                .expectedStart()
                                .map(start -> OptionalLong.of(start.toNanos()))
                                .orElse(OptionalLong.empty()));
    }

    /** Explains where a phase of a new request would be sent now; changes no later decision. */
    RoutingExplanation explain(RequestProfile profile, RequestPhase phase, Route route) {
        Set<String> suspected = suspected(profile, phase, new AttemptHistory(), route);
        RoutingExplanation explanation = mRouter.explain(profile, phase, suspected);
        return explanation.chosen().isPresent() || suspected.isEmpty()
                ? explanation
                : mRouter.explain(profile, phase, Set.of());
    }

    private Set<String> suspected(
            RequestProfile profile, RequestPhase phase, AttemptHistory history, Route route) {
        return history.isRepeatable(route, phase) ? Set.of() : mRouter.suspected(profile, phase);
    }

    /**
     * Chooses the endpoint for the next attempt of a request. One that could not be repeated avoids
     * endpoints that are suspected to lose requests.
     *
     * @param history attempts of the request so far
     */
    Optional<Assignment> choose(
            RequestProfile profile,
            RequestPhase phase,
            Optional<ProcessedPrompt> prompt,
            AttemptHistory history,
            Route route) {
        Set<String> suspected = suspected(profile, phase, history, route);
        return LossAvoidance.choose(
                suspected, avoided -> choose(profile, phase, prompt, history.excluded(), avoided));
    }

    /**
     * Chooses the endpoint for a phase. A processed prompt is continued in its own region if an
     * engine there can take it, and the router prefers its own failure domain: the KV cache of a
     * long prompt takes many times as long between regions, and transfers from one engine run one
     * after another, so that each slow transfer delays all responses behind it.
     *
     * @param excluded names of endpoints that already failed this request
     * @param avoided names of endpoints that are suspected to lose requests
     */
    Optional<Assignment> choose(
            RequestProfile profile,
            RequestPhase phase,
            Optional<ProcessedPrompt> prompt,
            Set<String> excluded,
            Set<String> avoided) {
        if (prompt.isEmpty()) {
            return mRouter.choosePhase(profile, phase, excluded, avoided);
        }
        HostLocation cache = prompt.get().endpoint().location();
        RequestProfile processed = profile.withCacheAt(cache);
        return mRouter.choosePhase(processed.inRegion(cache.region()), phase, excluded, avoided)
                .or(() -> mRouter.choosePhase(processed, phase, excluded, avoided));
    }

    private boolean prefersSplit(OptionalLong wholeNanos, OptionalLong prefillNanos) {
        if (prefillNanos.isEmpty() || wholeNanos.isEmpty()) {
            return false;
        }
        return prefillNanos.getAsLong() + mTransferNanos
                < wholeNanos.getAsLong() * INTERFERENCE_FACTOR;
    }
}
