package org.sesamedeck.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostList;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.Envelope;

/**
 * Connects the components of one node for membership, document dissemination, usage aggregation,
 * reads of the platform and configuration. Confined to the control thread: {@link #tick()} is
 * called several times a second, {@link #handle} for each message of a peer.
 */
public final class CoordinationNode {
    /** Interval at which {@link #tick()} must be called. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private static final System.Logger LOGGER = System.getLogger(CoordinationNode.class.getName());
    private static final int RELAYS_PER_DOMAIN = 2;
    // Up to this size every node may probe all members itself to get the replies of a majority;
    // above it, only relays and starting nodes do.
    private static final int MAX_NODES_ALL_PROBING = 16;
    private static final long RELAY_PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long RANDOM_PROBE_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MAJORITY_PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Duration STALE_CONFIRMATION_AGE = Duration.ofSeconds(2);

    private final Clock mClock;
    private final ConfigurationState mState;
    private final Membership mMembership;
    private final MemberRanking mRanking;
    private final DocumentDissemination mDissemination;
    private final UsageAggregationTree mUsageTree;
    private final PlatformRelay mRelay;
    private final List<HostAddress> mSeeds;
    private HostListDocument mHosts = HostListDocument.empty();
    private long mNextRelayProbe;
    private long mNextRandomProbe;
    private long mNextMajorityProbe;
    private int mNextRelayIndex;

    private CoordinationNode(
            Clock clock,
            Random random,
            ControlScheduler scheduler,
            PeerTransport transport,
            ObjectStore store,
            HostList hostList,
            Member self,
            List<HostAddress> seeds) {
        mClock = clock;
        mSeeds = List.copyOf(seeds);
        mState = ConfigurationState.create(clock, self.name());
        mMembership = Membership.create(clock, random, transport, mState, self, seeds);
        mRanking = MemberRanking.create(mMembership);
        mDissemination = DocumentDissemination.create(clock, random, transport, mMembership);
        mUsageTree = UsageAggregationTree.create(clock, transport, mMembership, mRanking);
        mRelay =
                PlatformRelay.create(
                        clock,
                        scheduler,
                        store,
                        hostList,
                        mDissemination,
                        mState,
                        self.name(),
                        () -> !mState.isRecovered() || isRelay());
        mState.setPuller(mDissemination::exchange);
        mDissemination.addListener(this::onDocument);
        mNextRelayProbe =
                clock.nanoTime() + (long) (random.nextDouble() * RELAY_PROBE_INTERVAL_NANOS);
    }

    /**
     * Returns a node that has just started.
     *
     * @param random seeded source of random choices
     * @param scheduler the control thread
     * @param seeds addresses of some control processes
     */
    public static CoordinationNode create(
            Clock clock,
            Random random,
            ControlScheduler scheduler,
            PeerTransport transport,
            ObjectStore store,
            HostList hostList,
            Member self,
            List<HostAddress> seeds) {
        return new CoordinationNode(
                clock, random, scheduler, transport, store, hostList, self, seeds);
    }

    /** Returns the configuration in force and its confirmation. */
    public ConfigurationState state() {
        return mState;
    }

    /** Returns the members. */
    public Membership membership() {
        return mMembership;
    }

    /** Returns the rankings of the live members. */
    public MemberRanking ranking() {
        return mRanking;
    }

    /** Returns the dissemination of documents. */
    public DocumentDissemination dissemination() {
        return mDissemination;
    }

    /** Returns the tree that aggregates usage over all nodes. */
    public UsageAggregationTree usageTree() {
        return mUsageTree;
    }

    /** Returns the relay, which reads the platform while this node has to. */
    public PlatformRelay relay() {
        return mRelay;
    }

    /** Returns the latest known host list. */
    public HostListDocument hosts() {
        return mHosts;
    }

    /** Returns whether this node reads the platform for its failure domain. */
    public boolean isRelay() {
        return relays().contains(mMembership.self().name());
    }

    private List<String> relays() {
        List<String> ranked = mRanking.rankInDomain("relay");
        return ranked.subList(0, Math.min(RELAYS_PER_DOMAIN, ranked.size()));
    }

    private void onDocument(VersionedDocument document) {
        try {
            if (document.key().equals(AcceptedConfiguration.DOCUMENT_KEY)) {
                mState.adopt(AcceptedConfiguration.parse(document.content()));
            } else if (document.key().equals(HostListDocument.DOCUMENT_KEY)) {
                onHosts(HostListDocument.parse(document));
            }
        } catch (SesamedeckException malformed) {
            LOGGER.log(
                    System.Logger.Level.ERROR,
                    "ignoring malformed document "
                            + document.key()
                            + " version "
                            + document.version(),
                    malformed);
        }
    }

    private void onHosts(HostListDocument hosts) {
        mHosts = hosts;
        mState.onHostList(hosts.nodeNames());
        mMembership.addFromHostList(
                hosts.nodes().stream()
                        .filter(host -> !host.isLeaving())
                        .map(CoordinationNode::toMember)
                        .toList());
        mMembership.removeUnlistedMembers(hosts.nodeNames());
    }

    private static Member toMember(HostEntry host) {
        return Member.of(host.name(), host.address(), host.failureDomain(), host.region());
    }

    /** Runs all periodic work that is due. */
    public void tick() {
        mMembership.tick();
        mDissemination.tick();
        mUsageTree.tick();
        mRelay.tick();
        if (!mState.isRecovered()) {
            mState.setKnownNodes(knownNodes());
        }
        requestConfirmations();
    }

    private int knownNodes() {
        Set<HostAddress> addresses = new HashSet<>(mSeeds);
        addresses.add(mMembership.self().address());
        mMembership.present().forEach(member -> addresses.add(member.address()));
        mHosts.nodes().forEach(host -> addresses.add(host.address()));
        return addresses.size();
    }

    private void requestConfirmations() {
        long now = mClock.nanoTime();
        boolean isStale =
                mState.confirmationAge()
                        .filter(age -> age.compareTo(STALE_CONFIRMATION_AGE) < 0)
                        .isEmpty();
        boolean isRelay = isRelay();
        if (now >= mNextRelayProbe && !isRelay) {
            mNextRelayProbe = now + RELAY_PROBE_INTERVAL_NANOS;
            List<String> relays = relays();
            if (!relays.isEmpty()) {
                mMembership
                        .find(relays.get(mNextRelayIndex++ % relays.size()))
                        .ifPresent(mMembership::probe);
            }
        }
        if (!isStale && mState.isRecovered()) {
            return;
        }
        if (now >= mNextRandomProbe) {
            mNextRandomProbe = now + RANDOM_PROBE_INTERVAL_NANOS;
            mMembership.randomPeers(1).forEach(mMembership::probe);
        }
        boolean probesMajority =
                isRelay
                        || !mState.isRecovered()
                        || mMembership.present().size() <= MAX_NODES_ALL_PROBING;
        if (probesMajority && now >= mNextMajorityProbe) {
            mNextMajorityProbe = now + MAJORITY_PROBE_INTERVAL_NANOS;
            mMembership.present().forEach(mMembership::probeWithoutSuspicion);
        }
    }

    /**
     * Handles a message of a peer if its type belongs to this package.
     *
     * @return the reply, or empty when another component handles this type of message; a failed
     *     future is sent as an error reply
     */
    public Optional<CompletableFuture<Envelope>> handle(Envelope message) {
        try {
            return switch (message.getBodyCase()) {
                case PROBE -> completed(mMembership.onProbe(message.getProbe()));
                case INDIRECT_PROBE ->
                        Optional.of(mMembership.onIndirectProbe(message.getIndirectProbe()));
                case DIGEST -> completed(mDissemination.onDigest(message.getDigest()));
                case DOCUMENT_REQUEST ->
                        completed(mDissemination.onRequest(message.getDocumentRequest()));
                case USAGE_SUMMARY ->
                        completed(
                                Envelopes.builder()
                                        .setUsageTotals(
                                                mUsageTree.onSummary(message.getUsageSummary()))
                                        .build());
                case PREPARE_CONFIGURATION -> {
                    mState.prepare(message.getPrepareConfiguration().getVersion());
                    yield completed(Envelopes.acknowledgement());
                }
                default -> Optional.empty();
            };
        } catch (SesamedeckException failure) {
            return Optional.of(CompletableFuture.failedFuture(failure));
        }
    }

    private static Optional<CompletableFuture<Envelope>> completed(Envelope reply) {
        return Optional.of(CompletableFuture.completedFuture(reply));
    }
}
