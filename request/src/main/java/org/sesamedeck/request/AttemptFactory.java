package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.RequestPhase;

/** Creates the attempts of one request and the options of their calls. */
final class AttemptFactory {
    private final RequestHandler mHandler;
    private final CallerRequest mRequest;
    private final AcceptedRequest mAccepted;

    AttemptFactory(RequestHandler handler, CallerRequest request, AcceptedRequest accepted) {
        mHandler = handler;
        mRequest = request;
        mAccepted = accepted;
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
                mAccepted.route().kind().isStream() && phase != RequestPhase.PREFILL,
                promptParts,
                mAccepted.usage(),
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
                        : mHandler.router().cacheSource(mAccepted.profile(), attempt.endpoint());
        return new CallOptions(
                attempt.phase(),
                remainingTime,
                mHandler.enginePriorities()
                        .of(mAccepted.route(), mAccepted.access().rank(), mRequest.promptTokens()),
                processedPrompt,
                cacheSource,
                mAccepted.access().account().map(ClientAccount::name),
                lastEvent);
    }
}
