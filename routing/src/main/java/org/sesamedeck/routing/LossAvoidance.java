package org.sesamedeck.routing;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Keeps a request away from endpoints that are suspected to lose requests, as long as others can
 * take it. Meant for requests that could not be repeated if they were lost; the others show when an
 * endpoint responds again.
 */
public final class LossAvoidance {
    private LossAvoidance() {}

    /**
     * Chooses among the endpoints that are not suspected, or among all if none of them is usable.
     *
     * @param suspected names of suspected endpoints
     * @param choice chooses an endpoint, given the names of those to avoid
     */
    public static Optional<Assignment> choose(
            Set<String> suspected, Function<Set<String>, Optional<Assignment>> choice) {
        Optional<Assignment> chosen = choice.apply(suspected);
        return chosen.isPresent() || suspected.isEmpty() ? chosen : choice.apply(Set.of());
    }

    /** Returns the union of two sets, of which one is mostly empty. */
    static Set<String> union(Set<String> first, Set<String> second) {
        if (first.isEmpty() || second.isEmpty()) {
            return first.isEmpty() ? second : first;
        }
        Set<String> union = new HashSet<>(first);
        union.addAll(second);
        return union;
    }

    /**
     * Returns the names of the suspected endpoints that could take a request now. None are named if
     * they are more than half of those, since the others could not take their work.
     *
     * @param fits whether an endpoint serves the phase of the request
     */
    static Set<String> suspected(Candidates candidates, Predicate<EndpointState> fits) {
        Set<String> suspected = null;
        int usable = 0;
        for (EndpointState state : candidates.all()) {
            if (!state.isUsable() || !fits.test(state)) {
                continue;
            }
            usable++;
            if (state.suspicion().isActive()) {
                suspected = suspected == null ? new HashSet<>() : suspected;
                suspected.add(state.description().name());
            }
        }
        return suspected == null || suspected.size() * 2 > usable ? Set.of() : suspected;
    }
}
