package org.sesamedeck.caller;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Execution;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** A refusal or failure in the form in which it is reported to the caller. */
public final class CallerException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private final ResultCode mCode;
    private final Execution mExecution;
    private final Duration mRetryAfter;

    private CallerException(
            ResultCode code,
            Execution execution,
            String message,
            Optional<Duration> retryAfter,
            Throwable cause) {
        super(message, cause);
        mCode = code;
        mExecution = execution;
        mRetryAfter = retryAfter.orElse(null);
    }

    /** Returns a failure with the execution status that the code implies. */
    public static CallerException of(ResultCode code, String message) {
        return new CallerException(code, code.execution(), message, Optional.empty(), null);
    }

    /** Returns a failure whose execution status differs from what the code implies. */
    public static CallerException of(ResultCode code, Execution execution, String message) {
        return new CallerException(code, execution, message, Optional.empty(), null);
    }

    /** Returns a failure with a retry-after delay. */
    public static CallerException retryAfter(
            ResultCode code, String message, Optional<Duration> retryAfter) {
        return new CallerException(code, code.execution(), message, retryAfter, null);
    }

    /** Converts a throwable; internal details are kept in the cause and not shown to the caller. */
    public static CallerException from(Throwable throwable) {
        if (throwable instanceof CallerException callerException) {
            return callerException;
        }
        SesamedeckException coded = SesamedeckException.from(throwable);
        String message =
                coded.code() == ResultCode.INTERNAL_ERROR
                        ? "internal error; the log has details under the request id"
                        : coded.getMessage();
        return new CallerException(
                coded.code(), coded.code().execution(), message, coded.retryAfter(), throwable);
    }

    /** Returns the result code. */
    public ResultCode code() {
        return mCode;
    }

    /** Returns whether the request was executed, as far as it is known. */
    public Execution execution() {
        return mExecution;
    }

    /**
     * Returns the value of {@code Retry-After}; 1 s by default for the codes that always carry one.
     */
    public Optional<Duration> retryAfter() {
        return switch (mCode) {
            case OVER_PLAN_LIMIT,
                    OVERLOADED,
                    UNAVAILABLE,
                    STOPPING,
                    CLAIMS_UNAVAILABLE,
                    IN_PROGRESS ->
                    Optional.of(mRetryAfter == null ? DEFAULT_RETRY_AFTER : mRetryAfter);
            default -> Optional.ofNullable(mRetryAfter);
        };
    }
}
