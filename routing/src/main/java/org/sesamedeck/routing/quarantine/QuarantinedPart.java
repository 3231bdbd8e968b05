package org.sesamedeck.routing.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A prompt part whose requests are refused.
 *
 * @param part the part
 * @param endpoints endpoints that crashed under unanswered calls with it
 * @param reporters processes that saw these crashes
 * @param retryAfter time until the part is tested next
 */
public record QuarantinedPart(
        PartKey part, List<String> endpoints, Set<String> reporters, Duration retryAfter) {}
