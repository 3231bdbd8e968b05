package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * What an endpoint states about itself in the head of a response, whatever the status.
 *
 * @param isLeaving whether it is shutting down and must receive no new requests
 * @param retryAfter time for which it wants no requests from this process
 * @param load its load
 */
public record EndpointSigns(
        boolean isLeaving, Optional<Duration> retryAfter, Optional<LoadReport> load) {
    private static final EndpointSigns NONE =
            new EndpointSigns(false, Optional.empty(), Optional.empty());

    /** Returns the signs of a response that states nothing. */
    public static EndpointSigns none() {
        return NONE;
    }
}
