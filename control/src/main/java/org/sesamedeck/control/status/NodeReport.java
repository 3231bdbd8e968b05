package org.sesamedeck.control.status;

import java.util.List;
import java.util.Map;
import org.sesamedeck.wire.generated.CodeCount;
import org.sesamedeck.wire.generated.NodeStatus;
import org.sesamedeck.wire.generated.PlanUsage;

/**
 * Status of one node in the status object.
 *
 * @param node name of the node
 * @param configurationVersion version of the configuration in force
 * @param admitting whether new requests are admitted
 * @param message problems, such as why requests are refused; empty when there are none
 * @param leases leases and claim shards that the node holds
 * @param openRequests requests in progress
 * @param refusals refusals in the last usage report of the entry process, by number of the result
 *     code
 * @param plans usage in that usage report, by plan
 * @param ageMillis time since the node reported, in milliseconds
 */
public record NodeReport(
        String node,
        long configurationVersion,
        boolean admitting,
        String message,
        List<String> leases,
        long openRequests,
        Map<Integer, Long> refusals,
        Map<String, Usage> plans,
        long ageMillis) {
    /**
     * Usage of one plan.
     *
     * @param usedMicros engine time used, in microseconds
     * @param inFlight requests in flight
     * @param requests requests that arrived
     * @param tokens tokens used
     */
    public record Usage(long usedMicros, long inFlight, long requests, long tokens) {}

    static NodeReport of(NodeStatus status, long ageMillis) {
        Map<Integer, Long> refusals = new java.util.TreeMap<>();
        for (CodeCount count : status.getRefusalsList()) {
            refusals.merge(count.getCode(), count.getCount(), Long::sum);
        }
        Map<String, Usage> plans = new java.util.TreeMap<>();
        for (PlanUsage plan : status.getPlansList()) {
            plans.put(
                    plan.getPlan(),
                    new Usage(
                            plan.getUsedMicros(),
                            plan.getInFlight(),
                            plan.getRequests(),
                            plan.getTokens()));
        }
        return new NodeReport(
                status.getNode(),
                status.getConfigurationVersion(),
                status.getAdmitting(),
                status.getMessage(),
                List.copyOf(status.getLeasesList()),
                status.getOpenRequests(),
                refusals,
                plans,
                ageMillis);
    }
}
