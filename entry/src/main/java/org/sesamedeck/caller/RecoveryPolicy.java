package org.sesamedeck.caller;

import java.util.Optional;
import org.sesamedeck.core.ResultCode;

/**
 * Decides whether another engine may continue a request after the attempt on one engine ended.
 *
 * <p>The decision depends on three facts: whether an engine may have run the request, whether the
 * request may be repeated, and how much the caller has already received.
 *
 * <ul>
 *   <li>When no engine ran the request (nothing was sent, or the engine confirmed it), any request
 *       may be sent to another engine.
 *   <li>When the response to a sent request is missing, broken off or invalid, {@link ChatRelay}
 *       first resumes at the same engine. That engine keeps an interrupted stream for 30 s and
 *       recognizes the request identifier, so resuming there never runs a request twice and loses
 *       no work. This policy applies only after that engine has failed repeatedly, has reported an
 *       error or has lost the stream.
 *   <li>After that, only a repeatable request goes to another engine. The part that the caller has
 *       received must be known as plain text, because engines can continue from text only.
 *   <li>A partly delivered response must be completed if possible, so its continuation counts
 *       against the retry budget but is not refused when the budget is exhausted.
 *   <li>"Not executed" is reported only while no engine may have run the request.
 * </ul>
 */
final class RecoveryPolicy {
    private RecoveryPolicy() {}

    /**
     * State of a request after the attempt on an engine ended.
     *
     * @param mayRepeat whether the request may run more than once
     * @param mayHaveRun whether any engine may have run the request
     * @param wasRejected whether an engine rejected the request, confirming that it did not run
     * @param hasDelivered whether the caller has received a part of the response
     * @param canContinue whether another engine can continue from the delivered part
     * @param hasAttempt whether the request has an attempt left
     * @param hasRetry whether the retry budget granted a retry
     */
    record RequestState(
            boolean mayRepeat,
            boolean mayHaveRun,
            boolean wasRejected,
            boolean hasDelivered,
            boolean canContinue,
            boolean hasAttempt,
            boolean hasRetry) {}

    /** Returns the result code of the failure; empty when another engine may be tried. */
    static Optional<ResultCode> failureCode(RequestState state) {
        if (!state.mayRepeat() && state.mayHaveRun()) {
            return Optional.of(ResultCode.OUTCOME_UNKNOWN);
        }
        if (state.hasDelivered()) {
            return state.canContinue() && state.hasAttempt()
                    ? Optional.empty()
                    : Optional.of(ResultCode.STREAM_LOST);
        }
        return state.hasAttempt() && state.hasRetry()
                ? Optional.empty()
                : Optional.of(finalFailureCode(state));
    }

    /** Returns the result code for a request that no further engine can take. */
    static ResultCode finalFailureCode(RequestState state) {
        if (state.hasDelivered()) {
            return ResultCode.STREAM_LOST;
        }
        if (state.mayHaveRun()) {
            return ResultCode.OUTCOME_UNKNOWN;
        }
        return state.wasRejected() ? ResultCode.OVERLOADED : ResultCode.UNAVAILABLE;
    }
}
