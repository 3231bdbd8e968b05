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
 * Pushes state updates to the entry process of this host and receives its usage reports. The first
 * update on a connection is complete; a later one contains the parts that changed and always the
 * admission flag and the refusal reason. Endpoints are left out while this process does not know
 * the host list, so that the entry process keeps the ones it has: an empty table would make
 * requests that it has let in wait for an endpoint until their deadline. An update is sent
 * immediately on a change (other than one of the refusal reason alone) and at least every second,
 * so that an entry process detects a control process that has stopped responding. Confined to the
 * control thread.
 */
public final class EntryLink {
    private static final System.Logger LOGGER = System.getLogger(EntryLink.class.getName());
    private static final long HEARTBEAT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final Clock mClock;
    private final CoordinationNode mNode;
    private final Supplier<Optional<EndpointTable>> mEndpointTable;
    private final String mProgramVersion;
    private final Map<MessageConnection, LastUpdate> mConnections = new LinkedHashMap<>();
    private Consumer<UsageReport> mUsageListener = report -> {};
    private UsageReport mLastReport = UsageReport.getDefaultInstance();
    private long mLastReportAtNanos;
    private ConfigurationDocument mConfiguration = ConfigurationDocument.getDefaultInstance();

    /** The state at the last update that was sent on a connection, and the time of that update. */
    private static final class LastUpdate {
        private StateUpdate mState = StateUpdate.getDefaultInstance();
        private boolean mIsInitial = true;
        private long mSentAtNanos;
    }

    private EntryLink(
            Clock clock,
            CoordinationNode node,
            Supplier<Optional<EndpointTable>> endpointTable,
            String programVersion) {
        mClock = clock;
        mNode = node;
        mEndpointTable = endpointTable;
        mProgramVersion = programVersion;
        node.state().addListener(this::onConfiguration);
    }

    /**
     * Returns a link without connections.
     *
     * @param endpointTable supplies the current endpoint table; empty while it is not known
     * @param programVersion version of this program
     */
    public static EntryLink create(
            Clock clock,
            CoordinationNode node,
            Supplier<Optional<EndpointTable>> endpointTable,
            String programVersion) {
        return new EntryLink(clock, node, endpointTable, programVersion);
    }

    /** Sets the receiver of the usage reports of the entry process. */
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

    /** Handles the hello message of an entry process and sends it the complete state. */
    public Envelope onHello(MessageConnection connection, EntryHello hello) {
        LOGGER.log(
                System.Logger.Level.INFO,
                "entry process {0} version {1} connected",
                hello.getEntryName(),
                hello.getProgramVersion());
        mConnections.put(connection, new LastUpdate());
        push();
        return Envelopes.builder()
                .setControlHello(
                        ControlHello.newBuilder()
                                .setNodeName(mNode.membership().self().name())
                                .setProgramVersion(mProgramVersion))
                .build();
    }

    /** Returns whether a connection belongs to the entry process of this host. */
    public boolean isEntry(MessageConnection connection) {
        return mConnections.containsKey(connection);
    }

    /** Stores a usage report and passes it to the listener. */
    public void onUsageReport(UsageReport report) {
        mLastReport = report;
        mLastReportAtNanos = mClock.nanoTime();
        mUsageListener.accept(report);
    }

    /**
     * Returns the last usage report, if it is at most 3 s old and an entry process is connected.
     */
    public Optional<UsageReport> lastReport() {
        boolean isRecent = mClock.nanoTime() - mLastReportAtNanos <= 3 * HEARTBEAT_INTERVAL_NANOS;
        return isRecent && !mConnections.isEmpty() ? Optional.of(mLastReport) : Optional.empty();
    }

    /**
     * Returns whether an entry process is stopping and has open requests that need this process.
     */
    public boolean isEntryDraining() {
        return lastReport()
                .filter(report -> report.getIsStopping() && report.getOpenRequests() > 0)
                .isPresent();
    }

    /** Sends the changes since the last update of each connection, or a heartbeat when due. */
    public void push() {
        mConnections.keySet().removeIf(connection -> !connection.isOpen());
        if (mConnections.isEmpty()) {
            return;
        }
        Admission admission = mNode.state().admission();
        StateUpdate.Builder state =
                StateUpdate.newBuilder()
                        .setConfiguration(mConfiguration)
                        .setUsageTotals(mNode.usageTree().totals())
                        .setAdmitting(admission.isAdmitting())
                        .setRefusalReason(admission.reason())
                        .setLiveEntries(mNode.membership().present().size());
        mEndpointTable.get().ifPresent(state::setEndpoints);
        StateUpdate complete = state.build();
        long now = mClock.nanoTime();
        mConnections.forEach(
                (connection, lastUpdate) -> push(connection, lastUpdate, complete, now));
    }

    private static void push(
            MessageConnection connection, LastUpdate lastUpdate, StateUpdate state, long now) {
        StateUpdate.Builder update = state.toBuilder();
        if (!lastUpdate.mIsInitial) {
            if (lastUpdate.mState.getConfiguration().equals(state.getConfiguration())) {
                update.clearConfiguration();
            }
            if (lastUpdate.mState.hasEndpoints()
                    && lastUpdate.mState.getEndpoints().equals(state.getEndpoints())) {
                update.clearEndpoints();
            }
            if (isSameUsage(lastUpdate.mState.getUsageTotals(), state.getUsageTotals())) {
                update.clearUsageTotals();
            }
        }
        boolean isChanged =
                lastUpdate.mIsInitial
                        || update.hasConfiguration()
                        || update.hasEndpoints()
                        || update.hasUsageTotals()
                        || state.getAdmitting() != lastUpdate.mState.getAdmitting()
                        || state.getLiveEntries() != lastUpdate.mState.getLiveEntries();
        if (isChanged || now - lastUpdate.mSentAtNanos >= HEARTBEAT_INTERVAL_NANOS) {
            connection.send(Envelopes.builder().setStateUpdate(update).build());
            lastUpdate.mIsInitial = false;
            lastUpdate.mState = state;
            lastUpdate.mSentAtNanos = now;
        }
    }

    private static boolean isSameUsage(UsageTotals first, UsageTotals second) {
        return first.getNodes() == second.getNodes()
                && first.getPlansList().equals(second.getPlansList())
                && first.getDemandsList().equals(second.getDemandsList());
    }
}
