package org.sesamedeck.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the engine to change when one more engine of the other role is needed: an engine in the
 * region where the current role outnumbers the desired role the most, so that both roles stay
 * available in every region as long as possible. Processes with the same list choose the same
 * engine.
 */
public final class RoleChangeChoice {
    /** Minimum number of engines that keep the current role after a change. */
    private static final int MIN_REMAINING_ENGINES = 2;

    private RoleChangeChoice() {}

    /**
     * Returns the engine to change.
     *
     * @param engines all engines of the service
     * @param desired role of which one more engine is needed
     * @return empty when too few engines of the other role would remain
     */
    public static Optional<EndpointDescription> choose(
            List<EndpointDescription> engines, EndpointRole desired) {
        EndpointRole current =
                desired == EndpointRole.PREFILL ? EndpointRole.DECODE : EndpointRole.PREFILL;
        Map<String, Integer> surplus = new HashMap<>();
        for (EndpointDescription engine : engines) {
            int step = engine.role() == current ? 1 : -1;
            surplus.merge(engine.region(), step, Integer::sum);
        }
        List<EndpointDescription> candidates =
                engines.stream()
                        .filter(engine -> engine.role() == current && !engine.isLeaving())
                        .toList();
        if (candidates.size() <= MIN_REMAINING_ENGINES) {
            return Optional.empty();
        }
        return candidates.stream()
                .min(
                        Comparator.comparing(
                                        (EndpointDescription engine) ->
                                                -surplus.get(engine.region()))
                                .thenComparing(EndpointDescription::name));
    }
}
