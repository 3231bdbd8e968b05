package org.sesamedeck.control.engine;

import java.util.List;
import java.util.Map;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.wire.generated.UsageTotals;

/**
 * Input of a role planner for one service.
 *
 * @param service name of the service
 * @param engines engines of the service in the host list
 * @param observations last observations of the engines, by name; engines without a usable report
 *     are absent
 * @param totals usage and demand over all nodes
 * @param totalsAtNanos monotonic time at which the totals arrived, in nanoseconds
 * @param configuration the configuration in force
 */
public record RolePlanningInput(
        String service,
        List<HostEntry> engines,
        Map<String, EngineObservation> observations,
        UsageTotals totals,
        long totalsAtNanos,
        Configuration configuration) {}
