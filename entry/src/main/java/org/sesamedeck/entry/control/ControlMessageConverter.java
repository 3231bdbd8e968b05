package org.sesamedeck.entry.control;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.UsageSnapshot;
import org.sesamedeck.wire.generated.Endpoint;
import org.sesamedeck.wire.generated.EndpointTable;
import org.sesamedeck.wire.generated.PlanUsage;
import org.sesamedeck.wire.generated.UsageTotals;

/** Converts between messages of the control process and the records that routing uses. */
final class ControlMessageConverter {
    private ControlMessageConverter() {}

    static List<EndpointDescription> toEndpointDescriptions(EndpointTable table) {
        return table.getEndpointsList().stream()
                .map(ControlMessageConverter::toEndpointDescription)
                .toList();
    }

    private static EndpointDescription toEndpointDescription(Endpoint endpoint) {
        return new EndpointDescription(
                endpoint.getName(),
                HostAddress.of(endpoint.getAddress(), endpoint.getPort()),
                endpoint.getService(),
                endpoint.getFailureDomain(),
                endpoint.getRegion(),
                endpoint.getIsEngine(),
                endpoint.getIsLeaving(),
                endpoint.getIsChanging(),
                toEndpointRole(endpoint.getRole()),
                Set.copyOf(endpoint.getModelsList()));
    }

    /** Returns the role with the given name; MIXED for an empty or unknown name. */
    private static EndpointRole toEndpointRole(String name) {
        return switch (name.toUpperCase(Locale.ROOT)) {
            case "PREFILL" -> EndpointRole.PREFILL;
            case "DECODE" -> EndpointRole.DECODE;
            default -> EndpointRole.MIXED;
        };
    }

    static UsageSnapshot toUsageSnapshot(UsageTotals totals) {
        Map<String, UsageSnapshot.PlanUsage> plans = new HashMap<>();
        for (PlanUsage usage : totals.getPlansList()) {
            plans.put(
                    usage.getPlan(),
                    new UsageSnapshot.PlanUsage(
                            usage.getUsedMicros(),
                            usage.getDemandedMicros(),
                            usage.getInFlight(),
                            usage.getRequests(),
                            usage.getTokens()));
        }
        return new UsageSnapshot(totals.getIntervalMillis(), Map.copyOf(plans));
    }

    static PlanUsage toPlanUsage(String plan, UsageSnapshot.PlanUsage usage) {
        return PlanUsage.newBuilder()
                .setPlan(plan)
                .setUsedMicros(usage.usedMicros())
                .setDemandedMicros(usage.demandedMicros())
                .setInFlight(usage.inFlight())
                .setRequests(usage.requests())
                .setTokens(usage.tokens())
                .build();
    }
}
