package org.sesamedeck.control.engine;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.endpoint.command.EngineGroupKeys;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.node.Member;
import org.sesamedeck.node.PeerTransport;
import org.sesamedeck.node.VersionedDocument;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.routing.RoleChange;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.Document;
import org.sesamedeck.wire.generated.DocumentReply;
import org.sesamedeck.wire.generated.DocumentRequest;
import org.sesamedeck.wire.generated.UsageTotals;

/**
 * Decides on the roles of the services for which this process is the deciding one.
 *
 * <p>Engines of one service belong to groups of different holders, and two holders that decide
 * alone could each take an engine out of service at once. So one process decides for a service: the
 * holder of the group that the service name hashes to. The group is fixed by the name, while the
 * lowest group with an engine of the service depends on the host list, and two processes with
 * different host lists would each take themselves for its holder. The configuration lease was not
 * used because its holder would receive the reports of all engines, more than the control traffic
 * allowed for a node at 5,600 servers; hashing spreads the services over the nodes.
 *
 * <p>The process requests the reports of the other groups from their holders and spreads its plan;
 * the holder of the engine's group gives the command. {@link ServicePlan} keeps plans from
 * overlapping unseen. Confined to the control thread.
 */
public final class RoleDecider {
    private static final System.Logger LOGGER = System.getLogger(RoleDecider.class.getName());
    private static final Duration INTERVAL = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

    /** The holder of a group is one of the first two members for its lease, or was lately. */
    private static final int CANDIDATES = 2;

    private final Clock mClock;
    private final CoordinationNode mNode;
    private final PeerTransport mTransport;
    private final List<EngineGroup> mGroups;
    private final RolePlanning mPlanning;
    private final Map<String, ServicePlan> mServices = new HashMap<>();
    private final Map<Integer, Received> mReports = new HashMap<>();
    private UsageTotals mTotals = UsageTotals.getDefaultInstance();
    private long mTotalsAtNanos;
    private long mCounter;

    private record Received(GroupReport report, long requestedAtNanos, String holder) {}

    private RoleDecider(
            Clock clock,
            CoordinationNode node,
            PeerTransport transport,
            List<EngineGroup> groups,
            RolePlanning planning) {
        mClock = clock;
        mNode = node;
        mTransport = transport;
        mGroups = groups;
        mPlanning = planning;
        mTotalsAtNanos = clock.nanoTime();
        node.usageTree().addListener(this::onTotals);
        node.dissemination().addListener(this::onDocument);
    }

    /**
     * Returns a decider that also hands the plans of others to the groups.
     *
     * @param groups all groups, by number
     */
    public static RoleDecider create(
            Clock clock,
            CoordinationNode node,
            PeerTransport transport,
            List<EngineGroup> groups,
            RolePlanning planning) {
        return new RoleDecider(clock, node, transport, groups, planning);
    }

    private void onTotals(UsageTotals totals) {
        mTotals = totals;
        mTotalsAtNanos = mClock.nanoTime();
    }

    private void onDocument(VersionedDocument document) {
        if (!document.key().startsWith(RolePlan.KIND + "/")) {
            return;
        }
        try {
            RolePlan plan = RolePlan.parse(document);
            if (plan.group() >= 0 && plan.group() < mGroups.size()) {
                mGroups.get(plan.group()).onPlan(plan);
            }
        } catch (SesamedeckException malformed) {
            LOGGER.log(System.Logger.Level.ERROR, "ignoring a role plan", malformed);
        }
    }

    /** Returns the reports of the groups that this process holds, if the request is for reports. */
    public Optional<DocumentReply> onRequest(DocumentRequest request) {
        if (request.getKeysList().stream()
                .noneMatch(key -> key.startsWith(GroupReport.KIND + "/"))) {
            return Optional.empty();
        }
        DocumentReply.Builder reply = DocumentReply.newBuilder();
        for (EngineGroup group : mGroups) {
            group.report()
                    .filter(
                            report ->
                                    request.getKeysList()
                                            .contains(GroupReport.keyOf(report.group())))
                    .map(GroupReport::toDocument)
                    .ifPresent(
                            document ->
                                    reply.addDocuments(
                                            Document.newBuilder()
                                                    .setKey(document.key())
                                                    .setVersion(document.version())
                                                    .setContent(
                                                            ByteString.copyFrom(
                                                                    document.compressed()))));
        }
        return Optional.of(reply.build());
    }

    /** Requests reports and plans when it is due. */
    public void tick() {
        Map<String, List<HostEntry>> services =
                mNode.hosts().hosts().stream()
                        .filter(host -> host.kind() == HostKind.ENGINE)
                        .collect(
                                Collectors.groupingBy(
                                        HostEntry::service, TreeMap::new, Collectors.toList()));
        mServices.keySet().retainAll(services.keySet());
        services.forEach(this::tick);
        if (mServices.isEmpty()) {
            mReports.clear();
        }
    }

    private void tick(String service, List<HostEntry> engines) {
        EngineGroup deciding = mGroups.get(EngineGroupKeys.groupOf(service, mGroups.size()));
        OptionalLong fencing = deciding.fencingNumber();
        if (fencing.isEmpty()) {
            mServices.remove(service);
            return;
        }
        long now = mClock.nanoTime();
        ServicePlan state = mServices.get(service);
        if (state == null || state.fencingNumber() != fencing.getAsLong()) {
            state = ServicePlan.of(fencing.getAsLong(), now);
            mServices.put(service, state);
        }
        // The replies have come by the next tick. Planning later would use up the time within
        // which the plan has to reach the holder of the engine's group.
        if (state.takeRequested()) {
            plan(service, engines, state, deciding);
        }
        if (!state.isRequestDue(now, INTERVAL)) {
            return;
        }
        engines.stream()
                .map(engine -> groupOf(engine.name()))
                .distinct()
                .forEach(group -> request(group, now));
    }

    private int groupOf(String engine) {
        return EngineGroupKeys.groupOf(engine, mGroups.size());
    }

    private void request(int group, long now) {
        Optional<GroupReport> own = mGroups.get(group).report();
        if (own.isPresent()) {
            mReports.put(group, new Received(own.get(), now, ""));
            return;
        }
        Received last = mReports.get(group);
        boolean isHolderKnown =
                last != null
                        && now - last.requestedAtNanos() < 2 * INTERVAL.toNanos()
                        && !last.holder().isEmpty();
        List<String> asked =
                isHolderKnown
                        ? List.of(last.holder())
                        : mNode.ranking().rank(EngineGroupKeys.key(group).toString()).stream()
                                .limit(CANDIDATES)
                                .toList();
        for (String name : asked) {
            mNode.membership()
                    .find(name)
                    .filter(member -> !name.equals(mNode.membership().self().name()))
                    .ifPresent(member -> request(group, member, now));
        }
    }

    private void request(int group, Member member, long now) {
        DocumentRequest request =
                DocumentRequest.newBuilder().addKeys(GroupReport.keyOf(group)).build();
        mTransport
                .call(
                        member.address(),
                        Envelopes.builder().setDocumentRequest(request).build(),
                        CALL_TIMEOUT)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                reply.getDocumentReply()
                                        .getDocumentsList()
                                        .forEach(each -> accept(group, member, now, each));
                            }
                        });
    }

    private void accept(int group, Member member, long requestedAt, Document message) {
        try {
            GroupReport report =
                    GroupReport.parse(
                            new VersionedDocument(
                                    message.getKey(),
                                    message.getVersion(),
                                    message.getContent().toByteArray()));
            Received last = mReports.get(group);
            // A former holder that does not know it yet may answer as well.
            boolean isNewer =
                    last == null || report.fencingNumber() >= last.report().fencingNumber();
            if (report.group() == group && isNewer) {
                mReports.put(group, new Received(report, requestedAt, member.name()));
            }
        } catch (SesamedeckException malformed) {
            LOGGER.log(System.Logger.Level.WARNING, "ignoring a group report", malformed);
        }
    }

    private void plan(
            String service, List<HostEntry> engines, ServicePlan state, EngineGroup deciding) {
        Map<String, EngineObservation> observations = new HashMap<>();
        for (Received received : mReports.values()) {
            for (GroupReport.Engine engine : received.report().engines()) {
                observations.put(
                        engine.state().name(), engine.observedBefore(received.requestedAtNanos()));
            }
        }
        RolePlanningView view =
                new RolePlanningView(
                        service,
                        engines,
                        state.trusted(observations, mClock.nanoTime()),
                        mTotals,
                        mTotalsAtNanos,
                        mNode.state().inForce().toConfiguration());
        Optional<RoleChange> change = mPlanning.plan(view);
        // The planner has taken the demand; a second change waits until the first one shows.
        if (change.isEmpty() || state.isWaiting() || deciding.fencingNumber().isEmpty()) {
            return;
        }
        issue(service, change.get(), state);
    }

    private void issue(String service, RoleChange change, ServicePlan state) {
        int group = groupOf(change.engine());
        GroupReport report = mReports.get(group).report();
        RolePlan plan =
                new RolePlan(
                        service,
                        change.engine(),
                        group,
                        report.fencingNumber(),
                        report.poll(),
                        change.from(),
                        change.to(),
                        cause(service, change));
        state.issued(change.engine(), change.to(), mClock.nanoTime());
        mCounter++;
        mNode.dissemination()
                .publish(
                        plan.toDocument(
                                EngineGroupDocument.version(state.fencingNumber(), mCounter)));
    }

    private String cause(String service, RoleChange change) {
        long prompt = 0;
        long output = 0;
        for (var demand : mTotals.getDemandsList()) {
            if (demand.getService().equals(service)) {
                prompt = demand.getPromptTokens();
                output = demand.getOutputTokens();
            }
        }
        return String.format(
                Locale.ROOT,
                "role planner of %s at %s: %s to %s, gain %.1f above cost %.1f engine-seconds, last"
                        + " demand %d prompt and %d output tokens in %d ms",
                service,
                mNode.membership().self().name(),
                change.from(),
                change.to(),
                change.gain(),
                change.cost(),
                prompt,
                output,
                mTotals.getIntervalMillis());
    }
}
