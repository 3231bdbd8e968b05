package org.sesamedeck.request;

import org.sesamedeck.routing.RetryBudget;

/**
 * Applies the retry policy to the present state of one request: what its attempts have shown, and
 * whether attempts, time and the retry budget of its service allow another one.
 */
final class RetryDecision {
    private final Route mRoute;
    private final AttemptHistory mHistory;
    private final PromptPartGuard mPromptParts;
    private final StreamDelivery mStream;
    private final RequestDeadline mDeadline;
    private final RetryBudget mBudget;

    RetryDecision(
            Route route,
            AttemptHistory history,
            PromptPartGuard promptParts,
            StreamDelivery stream,
            RequestDeadline deadline,
            RetryBudget budget) {
        mRoute = route;
        mHistory = history;
        mPromptParts = promptParts;
        mStream = stream;
        mDeadline = deadline;
        mBudget = budget;
    }

    /** Returns the next step when no endpoint can take the request. */
    NextStep withoutEndpoint() {
        return decide(AttemptOutcome.NOT_SENT, mHistory.mayHaveRun(), false);
    }

    /** Returns the next step after an attempt that ended without a response to relay. */
    NextStep afterAttempt(AttemptOutcome outcome) {
        boolean isSafe = !mHistory.mayHaveRun() || mRoute.kind().isRepeatable();
        boolean mayRepeat = outcome != AttemptOutcome.LOST || mPromptParts.mayRepeat();
        boolean isRetryAllowed =
                outcome == AttemptOutcome.NOT_SENT
                        ? mHistory.mayTryUnreachable()
                        : isSafe && mayRepeat && mayRetry();
        return decide(outcome, mHistory.mayHaveRun(), isRetryAllowed);
    }

    /** Returns the next step after a failure response of an endpoint that ran the request. */
    NextStep afterFailureResponse(int status) {
        boolean isRetryAllowed = status >= 500 && mRoute.kind().isRepeatable() && mayRetry();
        return decide(AttemptOutcome.FAILURE_ANSWERED, true, isRetryAllowed);
    }

    private NextStep decide(AttemptOutcome outcome, boolean mayHaveRun, boolean isRetryAllowed) {
        return RetryPolicy.decide(
                mRoute.kind(), outcome, mayHaveRun, mStream.isStarted(), isRetryAllowed);
    }

    /** Takes a retry from the budget if the attempt limits and the remaining time allow one. */
    private boolean mayRetry() {
        return mHistory.mayRetry(mRoute) && mDeadline.allowsSending() && mBudget.tryRetry();
    }
}
