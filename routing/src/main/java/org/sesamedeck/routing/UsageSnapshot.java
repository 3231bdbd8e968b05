package org.sesamedeck.routing;

import java.util.Map;

/**
 * Usage by plan over an interval.
 *
 * @param intervalMillis length of the interval in milliseconds
 * @param plans usage by plan name
 */
public record UsageSnapshot(long intervalMillis, Map<String, PlanUsage> plans) {
    /**
     * Usage of one plan.
     *
     * @param usedMicros engine time used, in microseconds
     * @param demandedMicros engine time of all requests that arrived, in microseconds
     * @param inFlight requests in progress
     * @param requests requests that arrived
     * @param tokens prompt and output tokens used
     */
    public record PlanUsage(
            long usedMicros, long demandedMicros, long inFlight, long requests, long tokens) {}
}
