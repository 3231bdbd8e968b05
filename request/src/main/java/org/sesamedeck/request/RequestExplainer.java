package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.request.RequestExplanation.Outcome;
import org.sesamedeck.request.RequestExplanation.QueueState;
import org.sesamedeck.routing.DecodeCapacity;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.RoutingExplanation;

/**
 * Explains what would happen to one request with a route, in the order in which {@link
 * RequestLifecycle} decides. It does not consider quarantined prompt parts. Confined to the thread
 * of its handler.
 */
final class RequestExplainer {
    private final RequestHandler mHandler;
    private final Route mRoute;
    private final RequestAccess mAccess;
    private final String mService;
    private final RequestProfile mProfile;
    private final RequestDeadline mDeadline;

    /** An outcome and its cause. */
    private record Verdict(Outcome outcome, String cause, Optional<ResultCode> code) {
        static Verdict refused(ResultCode code, String cause) {
            return new Verdict(Outcome.REFUSED, cause, Optional.of(code));
        }
    }

    RequestExplainer(
            RequestHandler handler,
            CallerRequest request,
            Route route,
            RequestAccess access,
            String service,
            RequestProfile profile) {
        mHandler = handler;
        mRoute = route;
        mAccess = access;
        mService = service;
        mProfile = profile;
        mDeadline = RequestDeadline.of(handler.clock(), request, Optional.of(route));
    }

    RequestExplanation explain() {
        PhaseSplitPolicy policy = mHandler.phaseSplit();
        RequestPhase phase = policy.firstPhase(mProfile);
        RoutingExplanation routing = policy.explain(mProfile, phase, mRoute);
        Optional<QueueState> queue =
                RequestLifecycle.isQueueable(mProfile) ? Optional.of(queue()) : Optional.empty();
        Verdict verdict = verdict(queue, routing);
        return new RequestExplanation(
                verdict.outcome,
                verdict.cause,
                verdict.code,
                Optional.of(mRoute.name()),
                mAccess.account().map(ClientAccount::name),
                Optional.of(mService),
                Optional.of(phase),
                queue,
                routing);
    }

    private QueueState queue() {
        DecodeCapacity capacity = mHandler.router().decodeCapacity(mProfile);
        int ahead = mHandler.requestQueue(mService).ahead(mAccess.presentRank());
        return new QueueState(ahead, capacity.inProgress(), capacity.limit());
    }

    private Verdict verdict(Optional<QueueState> queue, RoutingExplanation routing) {
        if (!mAccess.isAllowed()) {
            return Verdict.refused(ResultCode.UNAUTHENTICATED, mAccess.refusalCause());
        }
        if (mHandler.pressure(mService).isFull() && mAccess.presentRank().isSetBack()) {
            return Verdict.refused(
                    ResultCode.OVERLOADED,
                    "endpoints have room only for accounts within their share");
        }
        if (queue.map(this::mustWait).orElse(false)) {
            return waitVerdict();
        }
        return routing.chosen().isPresent()
                ? new Verdict(Outcome.SENT, "an endpoint can take it now", Optional.empty())
                : Verdict.refused(ResultCode.OVERLOADED, "no endpoint can take the request now");
    }

    private boolean mustWait(QueueState queue) {
        return queue.ahead() > 0 || queue.inProgress() >= queue.limit();
    }

    private Verdict waitVerdict() {
        Duration remaining = Duration.ofNanos(mDeadline.remainingNanos());
        return mHandler.requestQueue(mService).accepts(mAccess.presentRank(), remaining)
                ? new Verdict(Outcome.QUEUED, "it waits for decode capacity", Optional.empty())
                : Verdict.refused(ResultCode.OVERLOADED, "engines have no room");
    }
}
