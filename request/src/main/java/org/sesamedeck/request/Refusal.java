package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.ResultCode;

/**
 * An answer of this system's own.
 *
 * @param code numbered result, which fixes the status and whether the request may have run
 * @param message what failed, for the caller
 * @param retryAfter when the caller should come back, if that helps
 */
public record Refusal(ResultCode code, String message, Optional<Duration> retryAfter) {}
