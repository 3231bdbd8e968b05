package org.sesamedeck.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Where a request would be sent now, and why. Immutable.
 *
 * @param chosen name of the endpoint that would be chosen; empty when none can take the request
 * @param expectedStart expected time until the first token, or until a plain request starts; empty
 *     when nothing would be chosen
 * @param candidates the endpoints of the target, those compared first, by ranking cost
 */
public record RoutingExplanation(
        Optional<String> chosen,
        Optional<Duration> expectedStart,
        List<CandidateExplanation> candidates) {
    /** Copies the list. */
    public RoutingExplanation {
        candidates = List.copyOf(candidates);
    }

    /** Returns the explanation of a router that knows no endpoints. */
    public static RoutingExplanation empty() {
        return new RoutingExplanation(Optional.empty(), Optional.empty(), List.of());
    }
}
