package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * The decision to send an endpoint no requests because of what it stated in a response.
 *
 * @param cause what the endpoint stated
 * @param time how long the exclusion lasts; empty if it lasts until the endpoint is replaced
 */
public record EndpointExclusion(Cause cause, Optional<Duration> time) {
    /** What the endpoint stated. */
    public enum Cause {
        /** It is shutting down. */
        LEAVING,
        /** It wants no requests for some time. */
        RETRY_AFTER
    }
}
