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
 * Plans the role changes of the services for which this process is responsible.
 *
 * <p>The engines of one service belong to groups with different lease holders, and two holders that
 * plan independently could each take an engine out of service at the same time. Therefore one
 * process plans for a service: the holder of the group that the service name hashes to. The name
 * alone determines this group. The lowest group with an engine of the service would depend on the
 * host list, and two processes with different host lists could both plan. The holder of the
 * configuration lease does not plan for all services, because at 5,600 servers the reports of all
 * engines exceed the control traffic allowed for a node; hashing distributes the services over the
 * nodes.
 *
 * <p>The planning process requests the reports of the other groups from their holders and
 * disseminates its plan; the holder of the engine's group sends the command. {@link
 * ServicePlanningState} prevents a plan from being made while an earlier one may still take effect
 * unnoticed. Confined to the control thread.
 */
public final class RolePlanCoordinator {
    private static final System.Logger LOGGER =
            System.getLogger(RolePlanCoordinator.class.getName());
    private static final Duration REQUEST_INTERVAL = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

    /**
     * The holder of a group ranks, or recently ranked, among the first two members for its lease.
     */
    private static final int CANDIDATE_COUNT = 2;

    private final Clock mClock;
    private final CoordinationNode mNode;
    private final PeerTransport mTransport;
    private final List<EngineGroupController> mGroups;
    private final ServiceRolePlanner mRolePlanner;
    private final Map<String, ServicePlanningState> mPlanningStates = new HashMap<>();
    private final Map<Integer, ReceivedReport> mReportsByGroup = new HashMap<>();
    private UsageTotals mUsageTotals = UsageTotals.getDefaultInstance();
    private long mUsageTotalsAtNanos;
    private long mPublishedPlanCount;

    private record ReceivedReport(GroupReport report, long requestedAtNanos, String holder) {}

    private RolePlanCoordinator(
            Clock clock,
            CoordinationNode node,
            PeerTransport transport,
            List<EngineGroupController> groups,
            ServiceRolePlanner rolePlanner) {
        mClock = clock;
        mNode = node;
        mTransport = transport;
        mGroups = groups;
        mRolePlanner = rolePlanner;
        mUsageTotalsAtNanos = clock.nanoTime();
        node.usageTree().addListener(this::onTotals);
        node.dissemination().addListener(this::onDocument);
    }

    /**
     * Returns a coordinator that also passes the plans of other processes to the groups.
     *
     * @param groups all groups, indexed by group number
     */
    public static RolePlanCoordinator create(
            Clock clock,
            CoordinationNode node,
            PeerTransport transport,
            List<EngineGroupController> groups,
            ServiceRolePlanner rolePlanner) {
        return new RolePlanCoordinator(clock, node, transport, groups, rolePlanner);
    }

    private void onTotals(UsageTotals totals) {
        mUsageTotals = totals;
        mUsageTotalsAtNanos = mClock.nanoTime();
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
            LOGGER.log(System.Logger.Level.ERROR, "ignoring a malformed role plan", malformed);
        }
    }

    /** Returns the requested reports of held groups; empty if the request is not for reports. */
    public Optional<DocumentReply> onRequest(DocumentRequest request) {
        if (request.getKeysList().stream()
                .noneMatch(key -> key.startsWith(GroupReport.KIND + "/"))) {
            return Optional.empty();
        }
        DocumentReply.Builder reply = DocumentReply.newBuilder();
        for (EngineGroupController group : mGroups) {
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

    /** Requests reports and plans role changes when due. */
    public void tick() {
        Map<String, List<HostEntry>> services =
                mNode.hosts().hosts().stream()
                        .filter(host -> host.kind() == HostKind.ENGINE)
                        .collect(
                                Collectors.groupingBy(
                                        HostEntry::service, TreeMap::new, Collectors.toList()));
        mPlanningStates.keySet().retainAll(services.keySet());
        services.forEach(this::tick);
        if (mPlanningStates.isEmpty()) {
            mReportsByGroup.clear();
        }
    }

    private void tick(String service, List<HostEntry> engines) {
        EngineGroupController planningGroup =
                mGroups.get(EngineGroupKeys.groupOf(service, mGroups.size()));
        OptionalLong fencingNumber = planningGroup.fencingNumber();
        if (fencingNumber.isEmpty()) {
            mPlanningStates.remove(service);
            return;
        }
        long now = mClock.nanoTime();
        ServicePlanningState state = mPlanningStates.get(service);
        if (state == null || state.fencingNumber() != fencingNumber.getAsLong()) {
            state = ServicePlanningState.of(fencingNumber.getAsLong(), now);
            mPlanningStates.put(service, state);
        }
        // The replies have arrived by the next tick. Planning later would use up the time within
        // which the plan must reach the holder of the engine's group.
        if (state.consumeReportsRequested()) {
            plan(service, engines, state, planningGroup);
        }
        if (!state.beginRequestIfDue(now, REQUEST_INTERVAL)) {
            return;
        }
        engines.stream()
                .map(engine -> groupOf(engine.name()))
                .distinct()
                .forEach(group -> requestReport(group, now));
    }

    private int groupOf(String engine) {
        return EngineGroupKeys.groupOf(engine, mGroups.size());
    }

    private void requestReport(int group, long now) {
        Optional<GroupReport> own = mGroups.get(group).report();
        if (own.isPresent()) {
            mReportsByGroup.put(group, new ReceivedReport(own.get(), now, ""));
            return;
        }
        ReceivedReport lastReport = mReportsByGroup.get(group);
        boolean isHolderKnown =
                lastReport != null
                        && now - lastReport.requestedAtNanos() < 2 * REQUEST_INTERVAL.toNanos()
                        && !lastReport.holder().isEmpty();
        List<String> candidates =
                isHolderKnown
                        ? List.of(lastReport.holder())
                        : mNode.ranking().rank(EngineGroupKeys.key(group).toString()).stream()
                                .limit(CANDIDATE_COUNT)
                                .toList();
        for (String name : candidates) {
            mNode.membership()
                    .find(name)
                    .filter(member -> !name.equals(mNode.membership().self().name()))
                    .ifPresent(member -> requestReport(group, member, now));
        }
    }

    private void requestReport(int group, Member member, long now) {
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
                                        .forEach(each -> acceptReport(group, member, now, each));
                            }
                        });
    }

    private void acceptReport(int group, Member member, long requestedAt, Document message) {
        try {
            GroupReport report =
                    GroupReport.parse(
                            new VersionedDocument(
                                    message.getKey(),
                                    message.getVersion(),
                                    message.getContent().toByteArray()));
            ReceivedReport lastReport = mReportsByGroup.get(group);
            // A former holder that has not detected the loss of its lease may reply as well.
            boolean isNewer =
                    lastReport == null
                            || report.fencingNumber() >= lastReport.report().fencingNumber();
            if (report.group() == group && isNewer) {
                mReportsByGroup.put(group, new ReceivedReport(report, requestedAt, member.name()));
            }
        } catch (SesamedeckException malformed) {
            LOGGER.log(System.Logger.Level.WARNING, "ignoring a malformed group report", malformed);
        }
    }

    private void plan(
            String service,
            List<HostEntry> engines,
            ServicePlanningState state,
            EngineGroupController planningGroup) {
        Map<String, EngineObservation> observations = new HashMap<>();
        for (ReceivedReport received : mReportsByGroup.values()) {
            for (GroupReport.Engine engine : received.report().engines()) {
                observations.put(
                        engine.state().name(), engine.toObservation(received.requestedAtNanos()));
            }
        }
        RolePlanningInput input =
                new RolePlanningInput(
                        service,
                        engines,
                        state.usableObservations(observations, mClock.nanoTime()),
                        mUsageTotals,
                        mUsageTotalsAtNanos,
                        mNode.state().inForce().toConfiguration());
        Optional<RoleChange> change = mRolePlanner.plan(input);
        // The planner runs even while a change is pending, so that it records the demand. A second
        // change waits until a report resolves the first one.
        if (change.isEmpty()
                || state.isChangePending()
                || planningGroup.fencingNumber().isEmpty()) {
            return;
        }
        publishPlan(service, change.get(), state);
    }

    private void publishPlan(String service, RoleChange change, ServicePlanningState state) {
        int group = groupOf(change.engine());
        GroupReport report = mReportsByGroup.get(group).report();
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
        state.recordIssuedChange(change.engine(), change.to(), mClock.nanoTime());
        mPublishedPlanCount++;
        mNode.dissemination()
                .publish(
                        plan.toDocument(
                                EngineGroupDocument.version(
                                        state.fencingNumber(), mPublishedPlanCount)));
    }

    private String cause(String service, RoleChange change) {
        long prompt = 0;
        long output = 0;
        for (var demand : mUsageTotals.getDemandsList()) {
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
                mUsageTotals.getIntervalMillis());
    }
}
