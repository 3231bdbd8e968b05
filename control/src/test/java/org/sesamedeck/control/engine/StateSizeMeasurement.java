package org.sesamedeck.control.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sesamedeck.control.status.DomainStatus;
import org.sesamedeck.control.status.EndpointReport;
import org.sesamedeck.control.status.NodeReport;
import org.sesamedeck.core.ConfigurationParser;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.node.AcceptedConfiguration;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.node.HostListDocument;
import org.sesamedeck.node.Member;
import org.sesamedeck.node.PeerTransport;
import org.sesamedeck.node.VersionedDocument;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.EndpointTable;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.StateUpdate;

/**
 * Prints size in bytes and CPU time of the state that a control process keeps and forwards, by size
 * of the fleet, for docs/CAPACITY.md. Times are CPU time of this thread, the minimum of five
 * series, because other processes disturb the caches.
 */
public final class StateSizeMeasurement {
    /** Endpoints per node at the size expected in two years: 5,600 servers, 490 nodes. */
    private static final double ENDPOINTS_PER_NODE = 5_600.0 / 490;

    private static final int[] ENDPOINTS = {100, 500, 1_000, 2_800, 5_400, 5_600};
    private static final int[] CLIENT_ACCOUNTS = {10, 50, 210, 1_000, 2_000};
    private static final int[] NODES_OF_A_DOMAIN = {1, 8, 55};
    private static final int[] PLANS = {10, 210};
    private static final int ENGINE_GROUPS = 128;
    private static final int SERIES = 5;
    private static final int CALLS = 20;
    // Keeps the compiler from removing the measured calls.
    private static Object sLastResult;

    private StateSizeMeasurement() {}

    /** Prints the three tables; the arguments are ignored. */
    public static void main(String[] arguments) throws JsonProcessingException {
        System.out.println(
                "| endpoints | host list B | compressed B | compress ms | expand and parse ms |"
                        + " build table ms | table B | frame ms | groups compressed B |");
        for (int endpoints : ENDPOINTS) {
            printStateSize(endpoints);
        }
        System.out.println("\n| customers | plans | text B | compressed B | parse ms |");
        for (int clientAccounts : CLIENT_ACCOUNTS) {
            printConfigurationSize(clientAccounts, 10);
        }
        printConfigurationSize(210, 210);
        System.out.println("\n| nodes | plans | status B |");
        for (int nodes : NODES_OF_A_DOMAIN) {
            for (int plans : PLANS) {
                System.out.printf(
                        "| %d | %d | %d |%n", nodes, plans, domainStatusBytes(nodes, plans));
            }
        }
    }

    /** Returns the CPU time of a call in milliseconds, the minimum over all series. */
    private static double millis(Supplier<?> call) {
        double minimum = Double.MAX_VALUE;
        for (int series = 0; series < SERIES; series++) {
            long started = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            for (int i = 0; i < CALLS; i++) {
                sLastResult = call.get();
            }
            long spent = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - started;
            minimum = Math.min(minimum, spent / 1e6 / CALLS);
        }
        return minimum;
    }

    private static void printStateSize(int count) {
        HostListDocument hosts = hosts(count, Math.max(8, count * 490 / 5_600));
        String json = json(hosts);
        VersionedDocument document;
        try {
            document = hosts.toDocument(1 << 16);
        } catch (RuntimeException tooLarge) {
            System.out.printf("| %d | %d | %s |%n", count, json.length(), tooLarge.getMessage());
            return;
        }
        CoordinationNode node = node();
        EndpointTableBuilder builder = EndpointTableBuilder.create(node);
        node.dissemination().publish(document);
        long groupBytes = 0;
        VersionedDocument group = null;
        for (int i = 0; i < ENGINE_GROUPS; i++) {
            group = group(hosts, i);
            groupBytes += group.compressed().length;
            node.dissemination().publish(group);
        }
        EndpointTable table = builder.table().orElseThrow();
        String groupKey = group.key();
        byte[] groupContent = group.compressed();
        long[] version = {group.version()};
        double build =
                millis(
                        () -> {
                            version[0]++;
                            node.dissemination()
                                    .publish(
                                            new VersionedDocument(
                                                    groupKey, version[0], groupContent));
                            return builder.table();
                        });
        // Builds a new message each time, since a message caches its serialized size.
        double frame =
                millis(
                        () ->
                                Envelopes.builder()
                                        .setStateUpdate(
                                                StateUpdate.newBuilder()
                                                        .setEndpoints(
                                                                builder
                                                                        .table()
                                                                        .orElseThrow()
                                                                        .toBuilder()))
                                        .build()
                                        .toByteArray());
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %d | %.2f | %.2f | %.2f | %d | %.2f | %d |%n",
                count,
                json.length(),
                document.compressed().length,
                millis(() -> hosts.toDocument(1 << 16)),
                millis(() -> HostListDocument.parse(document)),
                build,
                table.getSerializedSize(),
                frame,
                groupBytes);
    }

    private static String json(HostListDocument hosts) {
        try {
            return new ObjectMapper().writeValueAsString(hosts);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("cannot serialize a host list", impossible);
        }
    }

    private static HostListDocument hosts(int endpoints, int nodes) {
        List<HostEntry> hosts = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            hosts.add(host("engine-" + i, i, HostKind.ENGINE, "model-service-" + i % 6));
        }
        for (int i = 0; i < nodes; i++) {
            hosts.add(host("node-" + i, 10_000 + i, HostKind.NODE, ""));
        }
        return new HostListDocument(hosts);
    }

    private static HostEntry host(String name, int index, HostKind kind, String service) {
        String address = "10." + index / 62_500 + "." + index / 250 % 250 + "." + index % 250;
        String domain = "domain-" + index % 9;
        HostAddress socket = HostAddress.of(address, 8_000);
        return new HostEntry(name, socket, kind, service, domain, "region-" + index % 3, false);
    }

    private static VersionedDocument group(HostListDocument hosts, int group) {
        List<EngineState> engines =
                hosts.hosts().stream()
                        .filter(host -> host.kind() == HostKind.ENGINE)
                        .filter(host -> Math.floorMod(host.name().hashCode(), 128) == group)
                        .map(StateSizeMeasurement::engine)
                        .toList();
        return new EngineGroupDocument(engines)
                .toDocument(group, EngineGroupDocument.version(1_000_000, 1));
    }

    private static EngineState engine(HostEntry host) {
        TreeSet<String> models = new TreeSet<>(List.of("house-judge", "notes-writer"));
        return new EngineState(host.name(), EndpointRole.MIXED, models, false, false);
    }

    private static CoordinationNode node() {
        ManualScheduler scheduler = ManualScheduler.create();
        PeerTransport transport =
                new PeerTransport() {
                    @Override
                    public void send(HostAddress peer, Envelope message) {}

                    @Override
                    public CompletableFuture<Envelope> call(
                            HostAddress peer, Envelope message, Duration timeout) {
                        return new CompletableFuture<>();
                    }
                };
        Member self = Member.of("node-0", HostAddress.of("10.0.0.1", 7_000), "domain-0", "r");
        return CoordinationNode.create(
                scheduler.clock(),
                new Random(1),
                scheduler,
                transport,
                FakeObjectStore.create(scheduler, scheduler.clock()),
                CompletableFuture::new,
                self,
                List.of());
    }

    private static void printConfigurationSize(int clientAccounts, int plans) {
        Random random = new Random(1);
        StringBuilder planList = new StringBuilder();
        StringBuilder entitlements = new StringBuilder();
        for (int plan = 0; plan < plans; plan++) {
            planList.append("[plan plan-" + plan + "]\nshare = 10\npriority = 6\n");
            planList.append("requests-per-minute = 6000\ntokens-per-minute = 4000000\n");
            planList.append("concurrent-requests = 400\nfirst-token-goal = 450ms\n");
            planList.append("token-interval-goal = 31ms\n");
            entitlements.append("[plan plan-" + plan + "]\nmodels = house-judge, notes-writer\n");
            entitlements.append("services = cookbook-app\nregions = tunis, sfax, sousse\n");
        }
        for (int clientAccount = 0; clientAccount < clientAccounts; clientAccount++) {
            planList.append(
                    "[customer customer-"
                            + clientAccount
                            + "]\nplan = plan-"
                            + clientAccount % plans);
            planList.append("\nkey-sha256 = ");
            for (int i = 0; i < 8; i++) {
                planList.append(String.format("%08x", random.nextInt()));
            }
            planList.append('\n');
        }
        String plansText = planList.toString();
        String entitlementsText = entitlements.toString();
        AcceptedConfiguration accepted =
                new AcceptedConfiguration(
                        1, plansText, entitlementsText, 1, "", List.of(), List.of());
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %d | %d | %.2f |%n",
                clientAccounts,
                plans,
                plansText.length() + entitlementsText.length(),
                accepted.toDocument().compressed().length,
                millis(() -> ConfigurationParser.parse(1, plansText, entitlementsText)));
    }

    private static List<EndpointReport> endpointReports(int count) {
        List<EndpointReport> endpoints = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            endpoints.add(
                    new EndpointReport(
                            "engine-" + index, "tasting-models", "domain-1", "DECODE", "serving"));
        }
        return endpoints;
    }

    private static int domainStatusBytes(int nodes, int plans) throws JsonProcessingException {
        List<NodeReport> reports = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            Map<String, NodeReport.Usage> usage = new TreeMap<>();
            for (int plan = 0; plan < plans; plan++) {
                usage.put("plan-" + plan, new NodeReport.Usage(987_654, 12, 31, 15_700));
            }
            reports.add(
                    new NodeReport(
                            "node-" + node,
                            1_000_000,
                            true,
                            "",
                            List.of("engine-group/" + node, "claims/" + node),
                            1_234,
                            Map.of(2001, 3L, 2002, 17L),
                            usage,
                            2_500));
        }
        DomainStatus status =
                new DomainStatus(
                        "domain-1",
                        "node-1",
                        "2026-01-01T00:00:00Z",
                        reports,
                        List.of(),
                        endpointReports((int) (nodes * ENDPOINTS_PER_NODE)));
        return new ObjectMapper().writeValueAsString(status).length();
    }
}
