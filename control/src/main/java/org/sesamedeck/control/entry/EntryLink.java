package org.sesamedeck.control.entry;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sesamedeck.core.Clock;
import org.sesamedeck.node.AcceptedConfiguration;
import org.sesamedeck.node.Admission;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.MessageConnection;
import org.sesamedeck.wire.generated.ConfigurationDocument;
import org.sesamedeck.wire.generated.ControlHello;
import org.sesamedeck.wire.generated.EndpointTable;
import org.sesamedeck.wire.generated.EntryHello;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.StateUpdate;
import org.sesamedeck.wire.generated.UsageReport;
import org.sesamedeck.wire.generated.UsageTotals;

/**
 * Connections of the entry process of this host. The first update to a connection has every part; a
 * later one has the parts that changed, and whether to admit is always set. An update is sent at
 * once on a change and at least every second, so that an entry notices when its control process
 * does not respond any more. Confined to the control thread.
 */
public final class EntryLink {
    private static final System.Logger LOGGER = System.getLogger(EntryLink.class.getName());
    private static final long HEARTBEAT_NANOS = Duration.ofSeconds(1).toNanos();

    private final Clock mClock;
    private final CoordinationNode mNode;
    private final Supplier<EndpointTable> mEndpoints;
    private final String mVersion;
    private final Map<MessageConnection, Sent> mConnections = new LinkedHashMap<>();
    private Consumer<UsageReport> mUsageListener = report -> {};
    private UsageReport mLastReport = UsageReport.getDefaultInstance();
    private long mLastReportAt;
    private ConfigurationDocument mConfiguration = ConfigurationDocument.getDefaultInstance();

    private static final class Sent {
        private StateUpdate mState = StateUpdate.getDefaultInstance();
        private boolean mIsFirst = true;
        private long mAt;
    }

    private EntryLink(
            Clock clock, CoordinationNode node, Supplier<EndpointTable> endpoints, String version) {
        mClock = clock;
        mNode = node;
        mEndpoints = endpoints;
        mVersion = version;
        node.state().addListener(this::onConfiguration);
    }

    /**
     * Returns a link without connections.
     *
     * @param endpoints the current endpoint table
     * @param version version of this program
     */
    public static EntryLink create(
            Clock clock, CoordinationNode node, Supplier<EndpointTable> endpoints, String version) {
        return new EntryLink(clock, node, endpoints, version);
    }

    /** Sets what receives the usage reports of the entry process. */
    public void setUsageListener(Consumer<UsageReport> listener) {
        mUsageListener = listener;
    }

    private void onConfiguration(AcceptedConfiguration accepted) {
        mConfiguration =
                ConfigurationDocument.newBuilder()
                        .setVersion(accepted.version())
                        .setPlansIni(accepted.plans())
                        .setEntitlementsIni(accepted.entitlements())
                        .build();
        push();
    }

    /** Handles the greeting of an entry process and sends it the whole state. */
    public Envelope onHello(MessageConnection connection, EntryHello hello) {
        LOGGER.log(
                System.Logger.Level.INFO,
                "entry process {0} version {1} connected",
                hello.getEntryName(),
                hello.getProgramVersion());
        mConnections.put(connection, new Sent());
        push();
        return Envelopes.builder()
                .setControlHello(
                        ControlHello.newBuilder()
                                .setNodeName(mNode.membership().self().name())
                                .setProgramVersion(mVersion))
                .build();
    }

    /** Returns whether a connection belongs to the entry process of this host. */
    public boolean isEntry(MessageConnection connection) {
        return mConnections.containsKey(connection);
    }

    /** Handles a usage report. */
    public void onUsageReport(UsageReport report) {
        mLastReport = report;
        mLastReportAt = mClock.nanoTime();
        mUsageListener.accept(report);
    }

    /** Returns the last usage report, if it is recent and an entry process is connected. */
    public Optional<UsageReport> lastReport() {
        boolean isRecent = mClock.nanoTime() - mLastReportAt <= 3 * HEARTBEAT_NANOS;
        return isRecent && !mConnections.isEmpty() ? Optional.of(mLastReport) : Optional.empty();
    }

    /** Returns whether an entry process is stopping and still has requests that need this one. */
    public boolean isEntryDraining() {
        return lastReport()
                .filter(report -> report.getIsStopping() && report.getOpenRequests() > 0)
                .isPresent();
    }

    /** Sends what has changed since the last update of each connection. */
    public void push() {
        mConnections.keySet().removeIf(connection -> !connection.isOpen());
        if (mConnections.isEmpty()) {
            return;
        }
        Admission admission = mNode.state().admission();
        StateUpdate state =
                StateUpdate.newBuilder()
                        .setConfiguration(mConfiguration)
                        .setEndpoints(mEndpoints.get())
                        .setUsageTotals(mNode.usageTree().totals())
                        .setAdmitting(admission.isAdmitting())
                        .setRefusalReason(admission.reason())
                        .setLiveEntries(mNode.membership().present().size())
                        .build();
        long now = mClock.nanoTime();
        mConnections.forEach((connection, sent) -> push(connection, sent, state, now));
    }

    private static void push(MessageConnection connection, Sent sent, StateUpdate state, long now) {
        StateUpdate.Builder update = state.toBuilder();
        if (!sent.mIsFirst) {
            if (sent.mState.getConfiguration().equals(state.getConfiguration())) {
                update.clearConfiguration();
            }
            if (sent.mState.getEndpoints().equals(state.getEndpoints())) {
                update.clearEndpoints();
            }
            if (isSameUsage(sent.mState.getUsageTotals(), state.getUsageTotals())) {
                update.clearUsageTotals();
            }
        }
        boolean isChanged =
                sent.mIsFirst
                        || update.hasConfiguration()
                        || update.hasEndpoints()
                        || update.hasUsageTotals()
                        || state.getAdmitting() != sent.mState.getAdmitting()
                        || state.getLiveEntries() != sent.mState.getLiveEntries();
        if (isChanged || now - sent.mAt >= HEARTBEAT_NANOS) {
            connection.send(Envelopes.builder().setStateUpdate(update).build());
            sent.mIsFirst = false;
            sent.mState = state;
            sent.mAt = now;
        }
    }

    private static boolean isSameUsage(UsageTotals first, UsageTotals second) {
        return first.getNodes() == second.getNodes()
                && first.getPlansList().equals(second.getPlansList())
                && first.getDemandsList().equals(second.getDemandsList());
    }
}
