package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.ResultCode;

/**
 * A response that this system generates itself instead of relaying one of an endpoint.
 *
 * @param code result code, which determines the status and whether the request may have run
 * @param message description of the failure, for the caller
 * @param retryAfter retry-after delay, if a retry may succeed
 */
public record ErrorResponse(ResultCode code, String message, Optional<Duration> retryAfter) {}
