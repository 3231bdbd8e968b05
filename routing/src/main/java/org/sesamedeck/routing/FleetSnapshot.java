package org.sesamedeck.routing;

import java.util.List;

/**
 * The engines of one service and the demand for them, over all entry processes.
 *
 * @param service name of the service
 * @param engines every engine of the service
 * @param promptTokensPerSecond prompt tokens per second of recently arrived requests
 * @param outputTokensPerSecond output tokens per second expected or reported for those requests
 * @param demandObservedAtNanos monotonic time to which the two demands refer, in nanoseconds
 * @param owedEngines engine time that the plans with demand are owed according to their shares, in
 *     engines; at most their demand
 * @param rates speed of the engines
 */
public record FleetSnapshot(
        String service,
        List<EngineSnapshot> engines,
        double promptTokensPerSecond,
        double outputTokensPerSecond,
        long demandObservedAtNanos,
        double owedEngines,
        EngineRates rates) {}
