package org.sesamedeck.core;

import java.util.Optional;

/** Numbered results, as documented in docs/result-codes.md. Numbers never change meaning. */
public enum ResultCode {
    BAD_REQUEST(1001, 400, Execution.NO, false),
    UNAUTHENTICATED(1002, 401, Execution.NO, false),
    NOT_ENTITLED(1003, 403, Execution.NO, false),
    NOT_FOUND(1004, 404, Execution.NO, false),
    REQUEST_TOO_LARGE(1005, 413, Execution.NO, false),
    REQUEST_TIMEOUT(1006, 408, Execution.NO, true),
    KEY_REUSED(1007, 422, Execution.NO, false),
    OVER_PLAN_LIMIT(2001, 429, Execution.NO, true),
    OVERLOADED(2002, 503, Execution.NO, true),
    UNAVAILABLE(2003, 503, Execution.NO, true),
    STOPPING(2004, 503, Execution.NO, true),
    CLAIMS_UNAVAILABLE(2005, 503, Execution.NO, true),
    DEADLINE_EXCEEDED(2006, 504, Execution.NO, true),
    PART_QUARANTINED(2007, 503, Execution.NO, true),
    OUTCOME_UNKNOWN(3001, 502, Execution.UNKNOWN, false),
    IN_PROGRESS(3002, 409, Execution.UNKNOWN, true),
    STREAM_LOST(3003, 410, Execution.YES, true),
    VERSION_CONFLICT(4001, 409, Execution.NO, false),
    LEASE_LOST(4002, 503, Execution.NO, false),
    STALE_FENCING_NUMBER(4003, 409, Execution.NO, false),
    STORE_UNAVAILABLE(4004, 503, Execution.NO, true),
    STORE_OUTCOME_UNKNOWN(4005, 502, Execution.UNKNOWN, false),
    STORE_RATE_LIMITED(4006, 429, Execution.NO, true),
    INVALID_CONFIGURATION(4007, 422, Execution.NO, false),
    INVALID_SETTINGS(4008, 500, Execution.NO, false),
    UNSUPPORTED_MESSAGE(4009, 501, Execution.NO, false),
    PEER_TIMEOUT(4010, 504, Execution.UNKNOWN, true),
    VALUE_TOO_LARGE(4011, 413, Execution.NO, false),
    INTERNAL_ERROR(5000, 500, Execution.UNKNOWN, false);

    private final int mNumber;
    private final int mHttpStatus;
    private final Execution mExecution;
    private final boolean mRetryable;

    ResultCode(int number, int httpStatus, Execution execution, boolean retryable) {
        mNumber = number;
        mHttpStatus = httpStatus;
        mExecution = execution;
        mRetryable = retryable;
    }

    /** Returns the code with the given number, if there is one. */
    public static Optional<ResultCode> ofNumber(int number) {
        for (ResultCode code : values()) {
            if (code.mNumber == number) {
                return Optional.of(code);
            }
        }
        return Optional.empty();
    }

    /** Returns the stable number of this code. */
    public int number() {
        return mNumber;
    }

    /** Returns the HTTP status under which callers see this code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns whether a request that failed with this code may have been executed. */
    public Execution execution() {
        return mExecution;
    }

    /** Returns whether the caller may retry the request unchanged. */
    public boolean isRetryable() {
        return mRetryable;
    }
}
