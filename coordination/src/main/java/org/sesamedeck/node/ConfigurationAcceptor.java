package org.sesamedeck.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ConfigurationParser;
import org.sesamedeck.core.ConfigurationResult;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ListChange;
import org.sesamedeck.core.ListsDifference;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.platform.AuditEntry;
import org.sesamedeck.platform.AuditTrail;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.PrepareConfiguration;

/**
 * Accepts configurations while this node holds the configuration lease: validates the candidate,
 * asks all nodes to prepare the next version, waits until a majority acknowledged it, and writes it
 * by conditional update. Confined to the control thread.
 *
 * <p>The write is conditional on the version of {@code configuration/accepted} that was read, so of
 * two processes that both act as the holder only one succeeds. A new holder first rewrites the
 * object unchanged: a write of a former holder that is still in flight then fails, and
 * acknowledgements given to that holder become void.
 */
public final class ConfigurationAcceptor {
    /** Object that operators write. */
    public static final ObjectKey CANDIDATE_LISTS = ObjectKey.of("configuration", "lists");

    private static final System.Logger LOGGER =
            System.getLogger(ConfigurationAcceptor.class.getName());
    private static final Duration WATCH_WAIT = Duration.ofSeconds(5);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

    /**
     * Maximum length of the old and of the new value in an audit entry, in characters; a change may
     * replace a whole list.
     */
    private static final int MAX_AUDIT_VALUE_LENGTH = 16 * 1024;

    private static final Duration PREPARE_TIMEOUT = Duration.ofSeconds(1);

    private final Clock mClock;
    private final ControlScheduler mScheduler;
    private final ObjectStore mStore;
    private final PeerTransport mTransport;
    private final CoordinationNode mNode;
    private final AuditTrail mAudit;
    private Lease mLease;
    private AcceptedConfiguration mAccepted = AcceptedConfiguration.none();
    private long mAcceptedStoreVersion;
    private long mLastCandidateVersion;
    private Optional<String> mProblem = Optional.empty();

    private ConfigurationAcceptor(
            Clock clock,
            ControlScheduler scheduler,
            ObjectStore store,
            PeerTransport transport,
            CoordinationNode node,
            AuditTrail audit) {
        mClock = clock;
        mScheduler = scheduler;
        mStore = store;
        mTransport = transport;
        mNode = node;
        mAudit = audit;
    }

    /** Returns an acceptor that is idle until {@link #start}. */
    public static ConfigurationAcceptor create(
            Clock clock,
            ControlScheduler scheduler,
            ObjectStore store,
            PeerTransport transport,
            CoordinationNode node,
            AuditTrail audit) {
        return new ConfigurationAcceptor(clock, scheduler, store, transport, node, audit);
    }

    /** Starts accepting under a lease that was just acquired; ends when the lease does. */
    public void start(Lease lease) {
        mLease = lease;
        mLastCandidateVersion = 0;
        if (!lease.unsettled().isEmpty()) {
            // All updates under this lease are conditional, so a late write of the former
            // holder cannot take effect.
            lease.settle(List.copyOf(lease.unsettled()));
        }
        fenceAndLoad(lease);
    }

    /** Returns why the latest candidate is not in force, for the status report. */
    public Optional<String> problem() {
        return mLease != null && mLease.isHeld() ? mProblem : Optional.empty();
    }

    private boolean isCurrent(Lease lease) {
        return lease == mLease && lease.isHeld();
    }

    /**
     * Passes the result to {@code onSuccess}. After a failure, runs the task that {@code retryTask}
     * returns once the retry delay has passed. Ignores the result when the lease has ended.
     */
    private <T> void whenCompleteWhileHeld(
            Lease lease,
            CompletableFuture<T> future,
            java.util.function.Consumer<T> onSuccess,
            Function<SesamedeckException, Runnable> retryTask) {
        future.whenCompleteAsync(
                (value, failure) -> {
                    if (!isCurrent(lease)) {
                        return;
                    }
                    if (failure == null) {
                        onSuccess.accept(value);
                        return;
                    }
                    SesamedeckException coded = SesamedeckException.from(failure);
                    LOGGER.log(
                            System.Logger.Level.INFO,
                            "store call under the configuration lease failed; retrying: {0} {1}",
                            coded.code(),
                            coded.getMessage());
                    Duration wait = coded.retryAfter().orElse(RETRY_INTERVAL);
                    mScheduler.schedule(wait, retryTask.apply(coded));
                },
                mScheduler);
    }

    private void fenceAndLoad(Lease lease) {
        if (!isCurrent(lease)) {
            return;
        }
        whenCompleteWhileHeld(
                lease,
                mStore.get(PlatformRelay.ACCEPTED),
                object -> {
                    if (object.isEmpty()) {
                        mAccepted = AcceptedConfiguration.none();
                        mAcceptedStoreVersion = 0;
                        watch(lease);
                        return;
                    }
                    whenCompleteWhileHeld(
                            lease,
                            mStore.update(
                                    PlatformRelay.ACCEPTED,
                                    object.get().version(),
                                    object.get().value()),
                            version -> {
                                load(object.get().value(), version);
                                watch(lease);
                            },
                            failure -> () -> fenceAndLoad(lease));
                },
                failure -> () -> fenceAndLoad(lease));
    }

    private void load(String value, long storeVersion) {
        mAccepted = AcceptedConfiguration.parse(value);
        mAcceptedStoreVersion = storeVersion;
        mLastCandidateVersion = Math.max(mLastCandidateVersion, mAccepted.candidateVersion());
        mNode.dissemination().publish(mAccepted.toDocument());
    }

    private void watch(Lease lease) {
        if (!isCurrent(lease)) {
            return;
        }
        whenCompleteWhileHeld(
                lease,
                mStore.watch(CANDIDATE_LISTS, mLastCandidateVersion, WATCH_WAIT),
                candidate -> {
                    if (candidate.isEmpty() || candidate.get().version() <= mLastCandidateVersion) {
                        mScheduler.schedule(Duration.ofMillis(10), () -> watch(lease));
                    } else {
                        validateCandidate(lease, candidate.get());
                    }
                },
                failure -> () -> watch(lease));
    }

    private void validateCandidate(Lease lease, StoredObject candidate) {
        if (!isCurrent(lease)) {
            return;
        }
        long version = mAccepted.version() + 1;
        CandidateLists lists;
        ConfigurationResult result;
        try {
            lists = CandidateLists.parse(candidate.value());
            result = ConfigurationParser.parse(version, lists.plans(), lists.entitlements());
            result.orThrow();
        } catch (SesamedeckException invalid) {
            mProblem =
                    Optional.of(
                            "candidate "
                                    + candidate.version()
                                    + " is invalid:\n"
                                    + invalid.getMessage());
            LOGGER.log(System.Logger.Level.WARNING, mProblem.get());
            mLastCandidateVersion = candidate.version();
            watch(lease);
            return;
        }
        prepare(lease, candidate, lists, version);
    }

    private void prepare(Lease lease, StoredObject candidate, CandidateLists lists, long version) {
        List<HostEntry> nodes = mNode.hosts().nodes();
        JointQuorum quorum = JointQuorum.of(mNode.hosts().nodeNames(), mAccepted.nodes());
        Set<String> acknowledged = new HashSet<>();
        int[] pending = {nodes.size()};
        boolean[] isDecided = {false};
        Runnable decide =
                () -> {
                    if (isDecided[0] || !isCurrent(lease)) {
                        return;
                    }
                    if (quorum.isMajority(acknowledged) && !quorum.isEmpty()) {
                        isDecided[0] = true;
                        write(lease, candidate, lists, version);
                    } else if (pending[0] == 0) {
                        isDecided[0] = true;
                        mProblem =
                                Optional.of(
                                        "candidate "
                                                + candidate.version()
                                                + " waits for a majority of nodes: "
                                                + acknowledged.size()
                                                + " of "
                                                + nodes.size()
                                                + " acknowledged version "
                                                + version);
                        LOGGER.log(System.Logger.Level.WARNING, mProblem.get());
                        mScheduler.schedule(
                                RETRY_INTERVAL, () -> rereadCandidate(lease, candidate));
                    }
                };
        if (nodes.isEmpty()) {
            decide.run();
        }
        for (HostEntry node : nodes) {
            sendPrepare(node, version)
                    .whenComplete(
                            (reply, failure) -> {
                                pending[0]--;
                                if (failure == null) {
                                    acknowledged.add(node.name());
                                }
                                decide.run();
                            });
        }
    }

    private CompletableFuture<Envelope> sendPrepare(HostEntry node, long version) {
        Envelope message =
                Envelopes.builder()
                        .setPrepareConfiguration(
                                PrepareConfiguration.newBuilder().setVersion(version))
                        .build();
        if (node.name().equals(mNode.membership().self().name())) {
            return mNode.handle(message).orElseThrow();
        }
        HostAddress address =
                mNode.membership().find(node.name()).map(Member::address).orElse(node.address());
        return mTransport.call(address, message, PREPARE_TIMEOUT);
    }

    /** Reads the candidate again, since an operator may have replaced it in the meantime. */
    private void rereadCandidate(Lease lease, StoredObject candidate) {
        if (!isCurrent(lease)) {
            return;
        }
        whenCompleteWhileHeld(
                lease,
                mStore.get(CANDIDATE_LISTS),
                latest -> validateCandidate(lease, latest.orElse(candidate)),
                failure -> () -> rereadCandidate(lease, candidate));
    }

    private void write(Lease lease, StoredObject candidate, CandidateLists lists, long version) {
        AcceptedConfiguration previous = mAccepted;
        AcceptedConfiguration nextAccepted = nextAccepted(lease, candidate, lists, version);
        String value = nextAccepted.toJson();
        CompletableFuture<Long> write =
                mAcceptedStoreVersion == 0
                        ? mStore.create(PlatformRelay.ACCEPTED, value)
                        : mStore.update(PlatformRelay.ACCEPTED, mAcceptedStoreVersion, value);
        whenCompleteWhileHeld(
                lease,
                write,
                storeVersion -> {
                    load(value, storeVersion);
                    mProblem = Optional.empty();
                    LOGGER.log(
                            System.Logger.Level.INFO,
                            "accepted configuration version {0}, proposed by {1}",
                            version,
                            lists.author());
                    recordAudit(previous, nextAccepted);
                    watch(lease);
                },
                // After a conflict or a lost response, the object shows whether the write took
                // effect; if it did not, the watch returns the candidate again.
                failure -> () -> fenceAndLoad(lease));
    }

    private AcceptedConfiguration nextAccepted(
            Lease lease, StoredObject candidate, CandidateLists lists, long version) {
        String digest = AcceptedConfiguration.digestOf(lists.plans(), lists.entitlements());
        List<AcceptedChange> audit = new ArrayList<>();
        audit.add(
                new AcceptedChange(
                        version,
                        candidate.version(),
                        lists.author(),
                        lists.note(),
                        mClock.now().toString(),
                        mNode.membership().self().name(),
                        lease.fencingNumber(),
                        digest,
                        mAccepted.digest()));
        audit.addAll(mAccepted.audit());
        int kept = Math.min(audit.size(), AcceptedConfiguration.MAX_AUDIT_ENTRIES);
        return new AcceptedConfiguration(
                version,
                lists.plans(),
                lists.entitlements(),
                candidate.version(),
                digest,
                List.copyOf(mNode.hosts().nodeNames()),
                audit.subList(0, kept));
    }

    /** Records the change in the audit trail, since the accepted object keeps the last 50 only. */
    private void recordAudit(AcceptedConfiguration previous, AcceptedConfiguration accepted) {
        AcceptedChange change = accepted.audit().get(0);
        List<ListChange> differences =
                ListsDifference.betweenBoth(
                        previous.plans(),
                        previous.entitlements(),
                        accepted.plans(),
                        accepted.entitlements());
        mAudit.record(
                new AuditEntry(
                        change.auditNumber(),
                        change.holder(),
                        change.note().isEmpty()
                                ? change.author()
                                : change.author() + ": " + change.note(),
                        PlatformRelay.ACCEPTED.toString(),
                        describe(previous.version(), differences, ListChange::before),
                        describe(accepted.version(), differences, ListChange::after),
                        change.fencingNumber()));
    }

    private static String describe(
            long version, List<ListChange> differences, Function<ListChange, String> value) {
        String text =
                differences.stream()
                        .filter(difference -> !value.apply(difference).isEmpty())
                        .map(
                                difference ->
                                        String.format(
                                                "%s [%s] %s = %s",
                                                difference.list(),
                                                difference.section(),
                                                difference.key(),
                                                value.apply(difference)))
                        .collect(Collectors.joining("; ", "version " + version + ": ", ""));
        return text.length() <= MAX_AUDIT_VALUE_LENGTH
                ? text
                : text.substring(0, MAX_AUDIT_VALUE_LENGTH) + "...";
    }
}
