package org.sesamedeck.routing;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Keeps a request away from endpoints that are suspected to lose requests, as long as others can
 * take it. Meant for requests that could not be repeated if they were lost; the others tell when an
 * endpoint responds again.
 */
public final class LossAvoidance {
    private LossAvoidance() {}

    /**
     * Chooses among the endpoints that are not suspected, or among all if none of them is usable.
     *
     * @param excluded names of endpoints that already failed the request
     * @param suspected names of suspected endpoints
     * @param choice chooses an endpoint, given the names of those it must not use
     */
    public static Optional<Assignment> choose(
            Set<String> excluded,
            Set<String> suspected,
            Function<Set<String>, Optional<Assignment>> choice) {
        if (suspected.isEmpty()) {
            return choice.apply(excluded);
        }
        Set<String> avoided = new HashSet<>(excluded);
        avoided.addAll(suspected);
        return choice.apply(avoided).or(() -> choice.apply(excluded));
    }

    /**
     * Returns the names of the suspected endpoints of one target. None are named if they are more
     * than half of the usable ones, since the others could not take their work.
     */
    static Set<String> suspected(Candidates candidates) {
        Set<String> suspected = null;
        int usable = 0;
        for (EndpointState state : candidates.all()) {
            usable += state.isUsable() ? 1 : 0;
            if (state.suspicion().isActive()) {
                suspected = suspected == null ? new HashSet<>() : suspected;
                suspected.add(state.description().name());
            }
        }
        return suspected == null || suspected.size() * 2 > usable ? Set.of() : suspected;
    }
}
