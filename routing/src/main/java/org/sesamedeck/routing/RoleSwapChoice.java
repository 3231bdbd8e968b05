package org.sesamedeck.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the engine whose role changes when one more of the other role is needed: one of the
 * region that has most of the present role for each of the wanted one, so that both roles stay in
 * every region as long as possible. Processes with the same list choose the same engine.
 */
public final class RoleSwapChoice {
    /** Engines of a role that are always left. */
    private static final int MIN_LEFT = 2;

    private RoleSwapChoice() {}

    /**
     * Returns the engine to change.
     *
     * @param engines all engines of the service
     * @param wanted role of which one more is needed
     * @return empty when too few engines of the other role would be left
     */
    public static Optional<EndpointDescription> choose(
            List<EndpointDescription> engines, EndpointRole wanted) {
        EndpointRole present =
                wanted == EndpointRole.PREFILL ? EndpointRole.DECODE : EndpointRole.PREFILL;
        Map<String, Integer> surplus = new HashMap<>();
        for (EndpointDescription engine : engines) {
            int step = engine.role() == present ? 1 : -1;
            surplus.merge(engine.region(), step, Integer::sum);
        }
        List<EndpointDescription> candidates =
                engines.stream()
                        .filter(engine -> engine.role() == present && !engine.isLeaving())
                        .toList();
        if (candidates.size() <= MIN_LEFT) {
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
