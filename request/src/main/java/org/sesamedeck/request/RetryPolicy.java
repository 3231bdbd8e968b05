package org.sesamedeck.request;

/**
 * Decides what follows a call that did not serve its request.
 *
 * <p>Three facts matter. First, whether the request may have run: only a call of which no byte left
 * and an explicit statement of the endpoint rule it out; silence, a reset and a spoiled answer do
 * not. A request that must not run twice is sent again only after those two, and only after those
 * two is any caller told that its request has not run. Second, whether the caller has received a
 * part of a stream: then no status can be sent any more, and the stream either goes on after its
 * last event or is broken off visibly. Third, whether another send is allowed, by the route's
 * number of runs and by the retry budget of the service. A call that an endpoint states it did not
 * run is no run, but it draws on the budget; a call of which no byte left costs neither, since
 * nothing reached an endpoint.
 */
final class RetryPolicy {
    /** Unreachable endpoints tried for one request; more would only hold the caller up. */
    static final int MAX_UNREACHABLE = 4;

    /** Endpoints that state that they did not run a request, tried before the caller is told. */
    static final int MAX_REJECTIONS = 2;

    private RetryPolicy() {}

    /**
     * Returns the next step.
     *
     * @param mayHaveRun whether any call of this request may have run, this one included
     * @param streamBegun whether the caller has received a part of a stream
     * @param maySendAgain whether attempts, budget and time allow another send
     */
    static NextStep decide(
            RequestKind kind,
            AttemptOutcome outcome,
            boolean mayHaveRun,
            boolean streamBegun,
            boolean maySendAgain) {
        boolean isSafe = !mayHaveRun || kind.isRepeatable();
        if (streamBegun) {
            return kind == RequestKind.RESUMABLE_STREAM && maySendAgain
                    ? NextStep.SEND_AGAIN
                    : NextStep.BREAK_OFF;
        }
        if (maySendAgain && isSafe) {
            return NextStep.SEND_AGAIN;
        }
        if (outcome == AttemptOutcome.FAILURE_ANSWERED) {
            return NextStep.PASS_ON;
        }
        return mayHaveRun ? NextStep.FAIL : NextStep.REFUSE;
    }
}
