package org.sesamedeck.request;

import java.util.HashSet;
import java.util.Set;
import org.sesamedeck.routing.RequestPhase;

/** Counts the attempts of one request and what is known of their outcomes. */
final class AttemptHistory {
    private final Set<String> mExcluded = new HashSet<>();
    private int mRuns;
    private int mRejections;
    private int mPrefillAttempts;
    private int mUnreachableEndpoints;
    private boolean mMayHaveRun;

    /** Returns the endpoints that failed this request. */
    Set<String> excluded() {
        return mExcluded;
    }

    /** Returns the number of attempts that ran or may have run. */
    int runs() {
        return mRuns;
    }

    /** Returns whether the request may have run at an endpoint. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns whether the prompt may be processed apart from the response. */
    boolean mayPrefill() {
        return mPrefillAttempts == 0 && mRuns == 0;
    }

    /** Returns whether the processed prompt may be the reason for the rejections. */
    boolean isPromptDoubtful() {
        return mRejections > 1;
    }

    /** Returns whether an endpoint may be tried after one that was not reached. */
    boolean mayTryUnreachable() {
        return mUnreachableEndpoints < RetryPolicy.MAX_UNREACHABLE;
    }

    /** Returns whether the number of runs and rejections allows another attempt. */
    boolean mayRetry(Route route) {
        return mRuns < route.maxAttempts() && mRejections <= RetryPolicy.MAX_REJECTIONS;
    }

    /**
     * Returns whether the request can be sent again if the next attempt is lost. A prompt can be
     * processed again, but the caller would wait for that too long.
     */
    boolean isRepeatable(Route route, RequestPhase phase) {
        return route.kind().isRepeatable()
                && phase == RequestPhase.WHOLE
                && mRuns + 1 < route.maxAttempts();
    }

    void sent(RequestPhase phase) {
        if (phase == RequestPhase.PREFILL) {
            mPrefillAttempts++;
        } else {
            mRuns++;
        }
    }

    /** Records that no endpoint could process the prompt apart from the response. */
    void prefillImpossible() {
        mPrefillAttempts++;
    }

    /** Records an attempt, other than a prefill, that ended without a response to relay. */
    void failed(String endpoint, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.LOST) {
            mMayHaveRun = true;
        } else {
            mRuns--;
        }
        mRejections += outcome == AttemptOutcome.REJECTED ? 1 : 0;
        mUnreachableEndpoints += outcome == AttemptOutcome.NOT_SENT ? 1 : 0;
        mExcluded.add(endpoint);
    }

    /** Records that an endpoint ran the request and answered with a failure. */
    void failureReceived(String endpoint) {
        mMayHaveRun = true;
        mExcluded.add(endpoint);
    }

    /** Records a cancelled attempt. */
    void cancelled(boolean hasNotRun) {
        mMayHaveRun |= !hasNotRun;
    }
}
