package org.sesamedeck.platform;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.RequestNotExecutedException;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Maps failures of platform calls to result codes. A write counts as without effect only when the
 * connection was never established, the client states that it sent nothing, or the platform
 * responded with a status that rules out an effect; every other failure of a write leaves its
 * outcome unknown.
 */
final class PlatformErrors {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private PlatformErrors() {}

    static SesamedeckException ofFailure(String call, boolean isWrite, Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof SesamedeckException coded) {
            return coded;
        }
        boolean isUnsent =
                cause instanceof ConnectException
                        || cause instanceof ConnectTimeoutException
                        || cause instanceof NoRouteToHostException
                        || cause instanceof UnknownHostException
                        || cause instanceof ConnectionRequestTimeoutException
                        || cause instanceof RequestNotExecutedException;
        return SesamedeckException.of(
                isWrite && !isUnsent
                        ? ResultCode.STORE_OUTCOME_UNKNOWN
                        : ResultCode.STORE_UNAVAILABLE,
                call + " failed: " + cause,
                cause);
    }

    static SesamedeckException ofStatus(String call, boolean isWrite, SimpleHttpResponse response) {
        int status = response.getCode();
        String message = call + " was answered with status " + status;
        switch (status) {
            case HttpStatus.SC_PRECONDITION_FAILED:
                return SesamedeckException.of(ResultCode.VERSION_CONFLICT, message);
            case HttpStatus.SC_NOT_FOUND:
                // An update or deletion of an absent object misses its expected version.
                return SesamedeckException.of(
                        isWrite ? ResultCode.VERSION_CONFLICT : ResultCode.STORE_UNAVAILABLE,
                        message);
            case HttpStatus.SC_REQUEST_TOO_LONG:
                return SesamedeckException.of(ResultCode.VALUE_TOO_LARGE, message);
            case HttpStatus.SC_TOO_MANY_REQUESTS:
                return SesamedeckException.retryAfter(
                        ResultCode.STORE_RATE_LIMITED, message, retryAfter(response));
            case HttpStatus.SC_SERVICE_UNAVAILABLE:
                return SesamedeckException.of(ResultCode.STORE_UNAVAILABLE, message);
            default:
                boolean isUnknown = isWrite && (status < 400 || status >= 500);
                return SesamedeckException.of(
                        isUnknown ? ResultCode.STORE_OUTCOME_UNKNOWN : ResultCode.STORE_UNAVAILABLE,
                        message);
        }
    }

    private static Duration retryAfter(SimpleHttpResponse response) {
        Header header = response.getFirstHeader("Retry-After");
        if (header == null) {
            return DEFAULT_RETRY_AFTER;
        }
        try {
            double seconds = Double.parseDouble(header.getValue().strip());
            return seconds >= 0 && seconds < 86_400
                    ? Duration.ofMillis((long) (seconds * 1000))
                    : DEFAULT_RETRY_AFTER;
        } catch (NumberFormatException dateForm) {
            // A date would need wall-clock time, on which no decision depends.
            return DEFAULT_RETRY_AFTER;
        }
    }
}
