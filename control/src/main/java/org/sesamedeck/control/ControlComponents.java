package org.sesamedeck.control;

import jakarta.inject.Inject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.claim.ClaimService;
import org.sesamedeck.control.claim.ClaimForwarder;
import org.sesamedeck.control.engine.CommandExecutorFactory;
import org.sesamedeck.control.engine.EndpointTableBuilder;
import org.sesamedeck.control.engine.EngineClient;
import org.sesamedeck.control.engine.EngineGroupController;
import org.sesamedeck.control.engine.RolePlanCoordinator;
import org.sesamedeck.control.engine.ServiceRolePlanner;
import org.sesamedeck.control.entry.EntryLink;
import org.sesamedeck.control.status.StatusReporter;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.Settings;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.lease.LeaseManager;
import org.sesamedeck.node.Admission;
import org.sesamedeck.node.ConfigurationAcceptor;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.node.PeerTransport;
import org.sesamedeck.platform.AuditTrail;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.wire.generated.EndpointTable;
import org.sesamedeck.wire.generated.NodeStatus;
import org.sesamedeck.wire.generated.UsageReport;

/**
 * The components of a control process that run on the control thread, and the order in which they
 * tick and stop.
 */
public final class ControlComponents {
    private static final System.Logger LOGGER = System.getLogger(ControlComponents.class.getName());
    private static final ObjectKey CONFIGURATION_LEASE = ObjectKey.of("lease", "configuration");

    // Leases, shards and polls work at intervals of seconds; checking them on every tick costs CPU
    // time.
    private static final long SLOW_TICK_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
    private static final long STARTUP_DELAY_NANOS = Duration.ofSeconds(2).toNanos();

    private final Clock mClock;
    private final ControlScheduler mScheduler;
    private final CoordinationNode mNode;
    private final ConfigurationAcceptor mAcceptor;
    private final LeaseCandidate mConfigurationLease;
    private final List<EngineGroupController> mGroups = new ArrayList<>();
    private final RolePlanCoordinator mRolePlanCoordinator;
    private final ClaimService mClaimService;
    private final ClaimForwarder mClaimForwarder;
    private final EndpointTableBuilder mEndpointTableBuilder;
    private final EntryLink mEntryLink;
    private final StatusReporter mStatusReporter;
    private final ControlMessageHandler mMessageHandler;
    private Lease mHeldConfigurationLease;
    private Admission mLoggedAdmission = Admission.refused("");
    private OptionalLong mStartupDelayEndNanos = OptionalLong.empty();
    private long mNextSlowTickNanos;
    private boolean mIsStopped;

    /** Creates the components; nothing runs before the first {@link #tick()}. */
    @Inject
    ControlComponents(
            Settings settings,
            Clock clock,
            ControlScheduler scheduler,
            PeerTransport transport,
            ObjectStore store,
            AuditTrail audit,
            LeaseManager leaseManager,
            ClaimService claimService,
            CoordinationNode node,
            EngineClient engineClient,
            CommandExecutorFactory executorFactory,
            ServiceRolePlanner rolePlanner) {
        mClock = clock;
        mNextSlowTickNanos = clock.nanoTime();
        mScheduler = scheduler;
        mNode = node;
        mClaimService = claimService;
        mEndpointTableBuilder = EndpointTableBuilder.create(node);
        mAcceptor = ConfigurationAcceptor.create(clock, scheduler, store, transport, node, audit);
        mConfigurationLease =
                LeaseCandidate.create(
                        clock,
                        leaseManager,
                        node,
                        CONFIGURATION_LEASE,
                        lease -> {
                            mHeldConfigurationLease = lease;
                            mAcceptor.start(lease);
                        },
                        () -> mHeldConfigurationLease = null,
                        () -> mHeldConfigurationLease.release());
        EngineGroupController.Context context =
                new EngineGroupController.Context(
                        clock, scheduler, leaseManager, node, engineClient, executorFactory);
        int groups = Math.toIntExact(settings.get(ControlSettings.GROUPS));
        for (int group = 0; group < groups; group++) {
            mGroups.add(EngineGroupController.create(group, groups, context));
        }
        mRolePlanCoordinator =
                RolePlanCoordinator.create(clock, node, transport, mGroups, rolePlanner);
        int shards = Math.toIntExact(settings.get(ControlSettings.SHARDS));
        mClaimForwarder =
                ClaimForwarder.create(clock, scheduler, claimService, shards, node, transport);
        mEntryLink =
                EntryLink.create(clock, node, mEndpointTableBuilder::table, ControlMain.version());
        mEntryLink.setUsageListener(
                report ->
                        node.usageTree()
                                .setOwnUsage(report.getPlansList(), report.getDemandsList()));
        mStatusReporter =
                StatusReporter.create(
                        clock,
                        scheduler,
                        store,
                        node,
                        transport,
                        this::ownStatus,
                        () ->
                                mEndpointTableBuilder
                                        .table()
                                        .orElse(EndpointTable.getDefaultInstance()));
        mMessageHandler =
                ControlMessageHandler.create(
                        scheduler,
                        node,
                        mEntryLink,
                        mClaimForwarder,
                        mStatusReporter,
                        mRolePlanCoordinator);
        node.usageTree().addListener(totals -> mEntryLink.push());
    }

    /** Returns the handler of incoming messages. */
    public ControlMessageHandler messageHandler() {
        return mMessageHandler;
    }

    /** Returns the node with its membership, documents and configuration. */
    public CoordinationNode node() {
        return mNode;
    }

    /** Returns the link to the entry process. */
    public EntryLink entryLink() {
        return mEntryLink;
    }

    /** Runs the tasks that are due. */
    public void tick() {
        if (mIsStopped) {
            return;
        }
        mNode.tick();
        boolean isSlowTick = mClock.nanoTime() >= mNextSlowTickNanos;
        if (isSlowTick && isStartupDelayOver()) {
            mNextSlowTickNanos = mClock.nanoTime() + SLOW_TICK_INTERVAL_NANOS;
            mConfigurationLease.tick();
            mGroups.forEach(EngineGroupController::tick);
            mRolePlanCoordinator.tick();
            mClaimForwarder.tick();
            mStatusReporter.tick();
        }
        mEntryLink.push();
        logAdmission();
    }

    /**
     * Returns whether this node may compete for leases and shards. A node that has just started
     * ranks first for all of them until it knows the other members, so it waits until 2 s after the
     * version in force is known.
     */
    private boolean isStartupDelayOver() {
        if (mStartupDelayEndNanos.isEmpty() && mNode.state().isRecovered()) {
            mStartupDelayEndNanos = OptionalLong.of(mClock.nanoTime() + STARTUP_DELAY_NANOS);
        }
        return mStartupDelayEndNanos.isPresent()
                && mClock.nanoTime() >= mStartupDelayEndNanos.getAsLong();
    }

    private void logAdmission() {
        Admission admission = mNode.state().admission();
        if (admission.isAdmitting() != mLoggedAdmission.isAdmitting()) {
            LOGGER.log(
                    System.Logger.Level.INFO,
                    admission.isAdmitting()
                            ? "admitting requests under configuration version "
                                    + mNode.state().inForce().version()
                            : "not admitting requests: " + admission.reason());
        }
        mLoggedAdmission = admission;
    }

    /** Returns the names of the leases and claim shards that are held. */
    public List<String> heldLeases() {
        List<String> held = new ArrayList<>();
        if (mConfigurationLease.isHolder()) {
            held.add(CONFIGURATION_LEASE.toString());
        }
        mGroups.stream()
                .filter(EngineGroupController::isHolder)
                .forEach(group -> held.add(group.key().toString()));
        mClaimService.ownedShards().stream().sorted().forEach(shard -> held.add("claims/" + shard));
        return held;
    }

    private NodeStatus ownStatus() {
        Admission admission = mNode.state().admission();
        NodeStatus.Builder status =
                NodeStatus.newBuilder()
                        .setNode(mNode.membership().self().name())
                        .setFailureDomain(mNode.membership().self().failureDomain())
                        .setConfigurationVersion(mNode.state().inForce().version())
                        .setAdmitting(admission.isAdmitting())
                        .addAllLeases(heldLeases());
        List<String> messages = new ArrayList<>();
        if (!admission.isAdmitting()) {
            messages.add(admission.reason());
        }
        if (mConfigurationLease.isHolder()) {
            mAcceptor.problem().ifPresent(messages::add);
        }
        if (mEntryLink.lastReport().isEmpty()) {
            messages.add("no entry process is connected");
        }
        mEntryLink
                .lastReport()
                .ifPresent(
                        report ->
                                status.addAllRefusals(report.getRefusalsList())
                                        .addAllPlans(report.getPlansList())
                                        .setOpenRequests(report.getOpenRequests()));
        return status.setMessage(String.join("\n", messages)).build();
    }

    /** Describes the work that delays the shutdown of this process, one item per element. */
    public List<String> workInProgress() {
        if (!mEntryLink.isEntryDraining()) {
            return List.of();
        }
        long open = mEntryLink.lastReport().map(UsageReport::getOpenRequests).orElse(0L);
        return List.of("entry process is stopping with " + open + " open requests");
    }

    /**
     * Releases leases and shards and then leaves the membership.
     *
     * @return completes when the leave has been announced
     */
    public CompletableFuture<Void> stop() {
        mIsStopped = true;
        mClaimForwarder.stop();
        List<CompletableFuture<Void>> releases = new ArrayList<>();
        releases.add(mConfigurationLease.stop());
        mGroups.forEach(group -> releases.add(group.stop()));
        CompletableFuture<Void> leftMembership = new CompletableFuture<>();
        CompletableFuture.allOf(releases.toArray(CompletableFuture[]::new))
                .whenComplete(
                        (done, failure) ->
                                mScheduler.execute(
                                        () -> {
                                            mNode.membership().leave();
                                            leftMembership.complete(null);
                                        }));
        return leftMembership;
    }
}
