package org.sesamedeck.core;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/** A failure with a numbered result code. Failed asynchronous operations complete with it. */
public final class SesamedeckException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode mCode;
    private final Duration mRetryAfter;

    private SesamedeckException(
            ResultCode code, String message, Duration retryAfter, Throwable cause) {
        super(message, cause);
        mCode = Objects.requireNonNull(code, "code");
        mRetryAfter = retryAfter;
    }

    /** Returns a failure with a message that names what failed. */
    public static SesamedeckException of(ResultCode code, String message) {
        return new SesamedeckException(code, message, null, null);
    }

    /** Returns a failure with its cause. */
    public static SesamedeckException of(ResultCode code, String message, Throwable cause) {
        return new SesamedeckException(code, message, null, cause);
    }

    /** Returns a failure that tells the caller how long to wait before a retry. */
    public static SesamedeckException retryAfter(
            ResultCode code, String message, Duration retryAfter) {
        return new SesamedeckException(code, message, retryAfter, null);
    }

    /**
     * Finds the coded failure inside the wrappers that futures add; any other throwable becomes
     * {@link ResultCode#INTERNAL_ERROR} with that throwable as its cause.
     */
    public static SesamedeckException from(Throwable throwable) {
        Throwable current = throwable;
        while ((current instanceof CompletionException || current instanceof ExecutionException)
                && current.getCause() != null) {
            current = current.getCause();
        }
        if (current instanceof SesamedeckException coded) {
            return coded;
        }
        return of(ResultCode.INTERNAL_ERROR, String.valueOf(current), current);
    }

    /** Returns the numbered result code. */
    public ResultCode code() {
        return mCode;
    }

    /** Returns the delay after which the caller should retry, if it is known. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(mRetryAfter);
    }
}
