package org.sesamedeck.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.lease.LeaseObject;
import org.sesamedeck.node.AcceptedConfiguration;
import org.sesamedeck.platform.StoredObject;

/**
 * The state of the deployment as its processes report it.
 *
 * @param listsVersion version of the lists as last written
 * @param acceptedVersion version that was accepted last; 0 before the first
 * @param isPending whether the lists as last written are not accepted yet
 * @param nodes state of each node
 * @param missingNodes nodes of the host list that do not report
 * @param plans share of engine time owed to and received by each plan
 * @param endpoints endpoints with their roles
 * @param leases leases and their holders
 * @param refusals refusals by result code in the last reporting interval
 * @param problems conditions that need the operator's attention
 */
record StatusReport(
        long listsVersion,
        long acceptedVersion,
        boolean isPending,
        List<NodeRow> nodes,
        List<String> missingNodes,
        List<PlanRow> plans,
        List<EndpointRow> endpoints,
        List<LeaseRow> leases,
        Map<String, Long> refusals,
        List<String> problems) {

    record NodeRow(
            String node,
            String failureDomain,
            long version,
            boolean admitting,
            long openRequests,
            long ageSeconds) {}

    /**
     * Usage of one plan in the last reporting interval.
     *
     * @param owedPercent percentage of engine time owed to the plan among plans with requests
     * @param receivedPercent percentage of engine time that it received in the last interval
     */
    record PlanRow(
            String plan,
            double owedPercent,
            double receivedPercent,
            long requests,
            long inFlight,
            long tokens) {}

    record EndpointRow(
            String endpoint, String service, String failureDomain, String role, String state) {}

    record LeaseRow(String lease, String holder, long version, boolean released) {}

    /** Builds the report from the stored objects. */
    static StatusReport of(
            OperatorLists lists,
            Optional<AcceptedConfiguration> accepted,
            List<StoredObject> domainStatuses,
            List<StoredObject> leaseObjects) {
        List<JsonNode> domains = domainStatuses.stream().map(ConfigurationClient::parse).toList();
        List<NodeRow> nodes = new ArrayList<>();
        List<String> missing = new ArrayList<>();
        List<EndpointRow> endpoints = new ArrayList<>();
        Map<String, Long> refusals = new TreeMap<>();
        List<String> problems = new ArrayList<>();
        for (JsonNode domain : domains) {
            domain.path("nodes").forEach(node -> addNode(domain, node, nodes, refusals, problems));
            domain.path("missing").forEach(name -> missing.add(name.asText()));
            domain.path("endpoints").forEach(endpoint -> endpoints.add(endpointRow(endpoint)));
        }
        long version = accepted.map(AcceptedConfiguration::version).orElse(0L);
        nodes.stream()
                .filter(node -> node.version() != version)
                .forEach(
                        node ->
                                problems.add(
                                        node.node()
                                                + " has version "
                                                + node.version()
                                                + " in force"));
        missing.forEach(name -> problems.add(name + " does not report"));
        return new StatusReport(
                lists.version(),
                version,
                accepted.map(AcceptedConfiguration::candidateVersion).orElse(0L) < lists.version(),
                nodes,
                missing,
                planRows(accepted, domains),
                endpoints,
                leaseObjects.stream().map(StatusReport::leaseRow).toList(),
                refusals,
                problems.stream().distinct().toList());
    }

    private static void addNode(
            JsonNode domain,
            JsonNode node,
            List<NodeRow> nodes,
            Map<String, Long> refusals,
            List<String> problems) {
        String name = node.path("node").asText();
        nodes.add(
                new NodeRow(
                        name,
                        domain.path("failureDomain").asText(),
                        node.path("configurationVersion").asLong(),
                        node.path("admitting").asBoolean(),
                        node.path("openRequests").asLong(),
                        node.path("ageMillis").asLong() / 1000));
        node.path("refusals")
                .fields()
                .forEachRemaining(
                        entry ->
                                refusals.merge(
                                        resultCodeName(entry.getKey()),
                                        entry.getValue().asLong(),
                                        Long::sum));
        String message = node.path("message").asText("");
        if (!message.isEmpty()) {
            problems.add(name + ": " + message);
        }
    }

    private static String resultCodeName(String number) {
        return ResultCode.ofNumber(Integer.parseInt(number))
                .map(code -> number + " " + code.name())
                .orElse(number);
    }

    private static EndpointRow endpointRow(JsonNode endpoint) {
        return new EndpointRow(
                endpoint.path("name").asText(),
                endpoint.path("service").asText(),
                endpoint.path("failureDomain").asText(),
                endpoint.path("role").asText("-"),
                endpoint.path("state").asText("-"));
    }

    private static LeaseRow leaseRow(StoredObject object) {
        LeaseObject lease = LeaseObject.parse(object.value());
        return new LeaseRow(
                object.key().toString(), lease.node(), object.version(), lease.isReleased());
    }

    private static List<PlanRow> planRows(
            Optional<AcceptedConfiguration> accepted, List<JsonNode> domains) {
        Map<String, long[]> usageByPlan = new TreeMap<>();
        for (JsonNode domain : domains) {
            for (JsonNode node : domain.path("nodes")) {
                node.path("plans")
                        .fields()
                        .forEachRemaining(
                                entry -> addUsage(usageByPlan, entry.getKey(), entry.getValue()));
            }
        }
        if (accepted.isEmpty()) {
            return List.of();
        }
        Configuration configuration = accepted.get().toConfiguration();
        double owedTotal =
                configuration.plans().values().stream()
                        .filter(plan -> hasDemand(usageByPlan.get(plan.name())))
                        .mapToDouble(plan -> plan.share())
                        .sum();
        long usedTotal = usageByPlan.values().stream().mapToLong(sums -> sums[0]).sum();
        return new TreeMap<>(configuration.plans())
                .values().stream()
                        .map(
                                plan -> {
                                    long[] sums =
                                            usageByPlan.getOrDefault(
                                                    plan.name(), new long[] {0, 0, 0, 0});
                                    return new PlanRow(
                                            plan.name(),
                                            hasDemand(sums) ? percent(plan.share(), owedTotal) : 0,
                                            percent(sums[0], usedTotal),
                                            sums[1],
                                            sums[2],
                                            sums[3]);
                                })
                        .toList();
    }

    private static boolean hasDemand(long[] sums) {
        return sums != null && (sums[1] > 0 || sums[2] > 0);
    }

    /** Adds to the sums of one plan: used microseconds, requests, requests in flight and tokens. */
    private static void addUsage(Map<String, long[]> usageByPlan, String plan, JsonNode value) {
        long[] sums = usageByPlan.computeIfAbsent(plan, name -> new long[4]);
        sums[0] += value.path("usedMicros").asLong();
        sums[1] += value.path("requests").asLong();
        sums[2] += value.path("inFlight").asLong();
        sums[3] += value.path("tokens").asLong();
    }

    private static double percent(double part, double whole) {
        return whole == 0 ? 0 : Math.round(1000.0 * part / whole) / 10.0;
    }
}
