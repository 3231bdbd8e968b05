package org.sesamedeck.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HashMixer;
import org.sesamedeck.routing.AccountShares;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.StartPolicy;
import org.sesamedeck.routing.StartTerms;

/**
 * Decides which requests are sent, with one {@link StartPolicy} for each service. Requests to plain
 * services always are. Confined to one thread.
 */
final class RequestStarts {
    private final Router mRouter;
    private final AccountShares mShares;
    private final Map<String, StartPolicy> mPolicies = new HashMap<>();

    private RequestStarts(Router router, AccountShares shares) {
        mRouter = router;
        mShares = shares;
    }

    static RequestStarts of(Clock clock, Router router) {
        return new RequestStarts(router, AccountShares.create(clock));
    }

    /** Decides on a request that arrives. */
    StartPolicy.Verdict decide(
            CallerRequest request,
            Route route,
            RequestAccess access,
            String service,
            RequestProfile profile) {
        if (!profile.isModelRequest()) {
            return StartPolicy.Verdict.START;
        }
        String account = access.account().map(ClientAccount::name).orElse("");
        StartTerms terms =
                new StartTerms(
                        access.priority(),
                        account,
                        route.targetLatency().toNanos(),
                        repetitionHash(request));
        StartPolicy.Verdict verdict =
                policy(service).decide(terms, mRouter.promptBacklogNanos(profile));
        if (verdict != StartPolicy.Verdict.REFUSE) {
            mShares.record(account, request.promptTokens());
        }
        return verdict;
    }

    private StartPolicy policy(String service) {
        return mPolicies.computeIfAbsent(service, name -> StartPolicy.create(mShares));
    }

    /** Returns the same hash when a caller sends the same prompt again under another identifier. */
    private static long repetitionHash(CallerRequest request) {
        List<PromptPart> parts = request.promptParts();
        long own =
                parts.isEmpty()
                        ? request.identifier().hashCode()
                        : parts.get(parts.size() - 1).identifier();
        return HashMixer.mix(HashMixer.mix(own) + request.promptTokens());
    }
}
