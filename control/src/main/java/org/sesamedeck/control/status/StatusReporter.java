package org.sesamedeck.control.status;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.node.Member;
import org.sesamedeck.node.PeerTransport;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.EndpointTable;
import org.sesamedeck.wire.generated.NodeStatus;

/**
 * Sends the status of this node to the aggregator of its failure domain every 5 s, and writes the
 * status object of the failure domain while this node is the aggregator. Confined to the control
 * thread.
 */
public final class StatusReporter {
    private static final System.Logger LOGGER = System.getLogger(StatusReporter.class.getName());
    private static final long REPORT_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long REPORT_EXPIRY_NANOS = Duration.ofSeconds(15).toNanos();
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Clock mClock;
    private final ControlScheduler mScheduler;
    private final ObjectStore mStore;
    private final CoordinationNode mNode;
    private final PeerTransport mTransport;
    private final Supplier<NodeStatus> mOwnStatus;
    private final Supplier<EndpointTable> mEndpointTable;
    private final Map<String, ReceivedStatus> mReceivedStatuses = new TreeMap<>();
    private long mNextReportNanos;
    private long mObjectVersion;
    private boolean mIsWriting;

    private record ReceivedStatus(NodeStatus status, long receivedAtNanos) {}

    private StatusReporter(
            Clock clock,
            ControlScheduler scheduler,
            ObjectStore store,
            CoordinationNode node,
            PeerTransport transport,
            Supplier<NodeStatus> ownStatus,
            Supplier<EndpointTable> endpointTable) {
        mClock = clock;
        mScheduler = scheduler;
        mStore = store;
        mNode = node;
        mTransport = transport;
        mOwnStatus = ownStatus;
        mEndpointTable = endpointTable;
        // Leaves the membership time to converge before the first report.
        mNextReportNanos = clock.nanoTime() + REPORT_INTERVAL_NANOS / 2;
    }

    /** Returns a reporter for this node. */
    public static StatusReporter create(
            Clock clock,
            ControlScheduler scheduler,
            ObjectStore store,
            CoordinationNode node,
            PeerTransport transport,
            Supplier<NodeStatus> ownStatus,
            Supplier<EndpointTable> endpointTable) {
        return new StatusReporter(
                clock, scheduler, store, node, transport, ownStatus, endpointTable);
    }

    private String ownFailureDomain() {
        return mNode.membership().self().failureDomain();
    }

    private Optional<Member> aggregator() {
        return mNode.ranking().firstInDomain("status");
    }

    private boolean isAggregator() {
        return aggregator()
                .filter(member -> member.name().equals(mNode.membership().self().name()))
                .isPresent();
    }

    /** Sends or writes the status when it is due. */
    public void tick() {
        long now = mClock.nanoTime();
        if (now < mNextReportNanos) {
            return;
        }
        mNextReportNanos = now + REPORT_INTERVAL_NANOS;
        NodeStatus own = mOwnStatus.get();
        if (isAggregator()) {
            onStatus(own);
            mReceivedStatuses
                    .values()
                    .removeIf(received -> now - received.receivedAtNanos() > REPORT_EXPIRY_NANOS);
            write();
        } else {
            mReceivedStatuses.clear();
            aggregator()
                    .ifPresent(
                            member ->
                                    mTransport.send(
                                            member.address(),
                                            Envelopes.builder().setNodeStatus(own).build()));
        }
    }

    /** Accepts the status of a node of this failure domain. */
    public void onStatus(NodeStatus status) {
        mReceivedStatuses.put(status.getNode(), new ReceivedStatus(status, mClock.nanoTime()));
    }

    private String statusJson() {
        long now = mClock.nanoTime();
        List<NodeReport> nodes = new ArrayList<>();
        mReceivedStatuses.forEach(
                (name, received) ->
                        nodes.add(
                                NodeReport.of(
                                        received.status(),
                                        Duration.ofNanos(now - received.receivedAtNanos())
                                                .toMillis())));
        List<String> missing =
                mNode.hosts().nodes().stream()
                        .filter(host -> host.failureDomain().equals(ownFailureDomain()))
                        .map(HostEntry::name)
                        .filter(name -> !mReceivedStatuses.containsKey(name))
                        .toList();
        DomainStatus status =
                new DomainStatus(
                        ownFailureDomain(),
                        mNode.membership().self().name(),
                        mClock.now().toString(),
                        nodes,
                        missing,
                        endpoints());
        try {
            return MAPPER.writeValueAsString(status);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("cannot serialize a domain status", impossible);
        }
    }

    private List<EndpointReport> endpoints() {
        return mEndpointTable.get().getEndpointsList().stream()
                .filter(endpoint -> endpoint.getFailureDomain().equals(ownFailureDomain()))
                .map(EndpointReport::of)
                .toList();
    }

    private void write() {
        if (mIsWriting) {
            return;
        }
        mIsWriting = true;
        ObjectKey key = ObjectKey.of("status", ownFailureDomain());
        write(key)
                .whenCompleteAsync(
                        (version, failure) -> {
                            mIsWriting = false;
                            if (failure == null) {
                                mObjectVersion = version;
                                return;
                            }
                            SesamedeckException exception = SesamedeckException.from(failure);
                            LOGGER.log(
                                    System.Logger.Level.DEBUG,
                                    "failed to write the status object: {0} {1}",
                                    exception.code(),
                                    exception.getMessage());
                            if (exception.code() == ResultCode.VERSION_CONFLICT
                                    || exception.code() == ResultCode.STORE_OUTCOME_UNKNOWN) {
                                readVersion(key);
                            }
                        },
                        mScheduler);
    }

    private CompletableFuture<Long> write(ObjectKey key) {
        return mObjectVersion == 0
                ? mStore.create(key, statusJson())
                : mStore.update(key, mObjectVersion, statusJson());
    }

    private void readVersion(ObjectKey key) {
        mStore.get(key)
                .thenAcceptAsync(
                        object -> {
                            mObjectVersion = object.map(StoredObject::version).orElse(0L);
                            // Retries at the next tick: another node wrote the object, or the
                            // response to a write was lost.
                            mNextReportNanos = Math.min(mNextReportNanos, mClock.nanoTime());
                        },
                        mScheduler);
    }
}
