package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;

/** Creates the attempts of one request and the options of their calls. */
final class AttemptFactory {
    private final RequestHandler mHandler;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final RequestProfile mProfile;

    AttemptFactory(
            RequestHandler handler, CallerRequest request, Route route, RequestProfile profile) {
        mHandler = handler;
        mRequest = request;
        mRoute = route;
        mProfile = profile;
    }

    Attempt create(
            RequestLifecycle lifecycle,
            Assignment assignment,
            RequestPhase phase,
            PromptPartGuard promptParts) {
        return new Attempt(
                mHandler,
                lifecycle,
                assignment,
                phase,
                mRoute.kind().isStream() && phase != RequestPhase.PREFILL,
                promptParts,
                new EndpointSignRecorder(mHandler, mRequest.identifier()));
    }

    CallOptions options(
            Attempt attempt,
            Duration remainingTime,
            Optional<ProcessedPrompt> processedPrompt,
            OptionalLong lastEvent) {
        Optional<EndpointDescription> cacheSource =
                attempt.phase() == RequestPhase.DECODE
                        ? Optional.empty()
                        : mHandler.router().cacheSource(mProfile, attempt.endpoint());
        return new CallOptions(
                attempt.phase(),
                remainingTime,
                mHandler.enginePriorities().of(mRoute, mRequest.promptTokens()),
                processedPrompt,
                cacheSource,
                lastEvent);
    }
}
