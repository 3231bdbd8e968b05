package org.sesamedeck.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Clock;

/**
 * Decides what a process tells the others about the load that it places on endpoints, and sums what
 * they tell. Without input and output; confined to one thread.
 *
 * <p>Messages from every process to every other one grow with the square of the fleet, and a small
 * host spends most of its processor time on them long before they are fresh enough to be of use.
 * With more than a few processes, each therefore sends its load to the relay of its group only. A
 * relay sends the sum of its group to the relays of the other groups, and the sum over all other
 * processes back to each member. A load then travels three hops, and a process handles a number of
 * messages that grows with the square root of the fleet at a relay and not at all elsewhere.
 *
 * <p>Relays are not elected: the members of a group agree on a ranking, and any process to which
 * members send relays for them. Two relays in one group, as after a partition, cost messages and no
 * error, because the other groups use the report of the better ranked one.
 */
public final class LoadExchange {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** More updates than a relay gets between two messages; beyond it, the oldest are dropped. */
    private static final int MAX_PREFIX_UPDATES = 256;

    /** Rounds that an idle process skips, so that its last message does not expire. */
    private static final int MAX_SILENT_ROUNDS = 3;

    /** Spread over the groups, so that the loss of a failure domain leaves some of them. */
    private static final int STORE_WATCHERS = 4;

    private final Clock mClock;
    private final String mSelf;
    private final long mIncarnation;
    private final long mStartNanos;
    private final PeerLoads mProcesses;
    private final PeerLoads mGroups;
    private final PeerLoads mFleet;
    private final UsageExchange mUsage;
    private final RelayChoice mRelays;
    private final RelayChoice mOtherRelays;
    private final Set<PrefixUpdate> mUpdatesForGroups = new LinkedHashSet<>();
    private final Set<PrefixUpdate> mUpdatesForMembers = new LinkedHashSet<>();
    private ExchangeTopology mTopology = ExchangeTopology.empty();
    private List<EndpointLoad> mOwnLoads = List.of();
    private List<StoreProgress> mStoreProgress = List.of();
    private Set<String> mNeighbors = Set.of();
    private boolean mWasIdle;
    private int mSilentRounds;
    private long mSequence;

    private LoadExchange(Clock clock, String self, long incarnation) {
        mClock = clock;
        mSelf = self;
        mIncarnation = incarnation;
        mStartNanos = clock.nanoTime();
        mProcesses = PeerLoads.create(clock);
        mGroups = PeerLoads.create(clock);
        mFleet = PeerLoads.create(clock);
        mUsage = new UsageExchange(clock);
        mRelays = new RelayChoice(clock);
        mOtherRelays = new RelayChoice(clock);
    }

    /**
     * Returns an exchange that knows no other process.
     *
     * @param self name of this process
     * @param incarnation random number that identifies this run of the process
     */
    public static LoadExchange create(Clock clock, String self, long incarnation) {
        return new LoadExchange(clock, self, incarnation);
    }

    /**
     * Updates the processes that take part.
     *
     * @param names names in an order that all processes agree on
     */
    public void updateProcesses(List<String> names) {
        mTopology = ExchangeTopology.of(mSelf, names);
        mRelays.retain(mTopology.ownGroup());
        mOtherRelays.retain(mTopology.others());
    }

    /** Updates the progress in the store that the next messages carry. */
    public void updateStoreProgress(List<StoreProgress> progress) {
        mStoreProgress = List.copyOf(progress);
    }

    /** Updates the usage of client accounts by this process that the next messages carry. */
    public void updateOwnUsage(UsageSummary usage) {
        mUsage.updateOwn(usage);
    }

    /**
     * Returns whether this process is one of a few that watch the store closely for the others, one
     * in every few groups. All processes agree on them; whether they respond is not taken into
     * account.
     */
    public boolean isStoreWatcher() {
        List<String> group = mTopology.ownGroup();
        return group.isEmpty()
                || mTopology.isOneOfSpread(STORE_WATCHERS) && group.get(0).equals(mSelf);
    }

    /** Returns whether every process sends to every other one. */
    public boolean isFullMesh() {
        return mTopology.isFullMesh();
    }

    /** Records a message of another process. */
    public void receive(LoadMessage message) {
        mUsage.receive(message);
        switch (message.scope()) {
            case PROCESS -> {
                record(mProcesses, message);
                queue(message.prefixUpdates(), mUpdatesForGroups);
            }
            case GROUP -> {
                record(mGroups, message);
                mOtherRelays.heard(message.sender());
            }
            default -> {
                record(mFleet, message);
                mRelays.heard(message.sender());
            }
        }
        if (message.scope() != LoadScope.FLEET && !mTopology.isFullMesh()) {
            queue(message.prefixUpdates(), mUpdatesForMembers);
        }
    }

    private static void record(PeerLoads loads, LoadMessage message) {
        loads.receive(
                message.sender(),
                message.incarnation(),
                message.sequence(),
                message.loads(),
                message.processes());
    }

    private static void queue(List<PrefixUpdate> updates, Set<PrefixUpdate> queue) {
        queue.addAll(updates);
        while (queue.size() > MAX_PREFIX_UPDATES) {
            queue.remove(queue.iterator().next());
        }
    }

    /** Returns the messages to send now. */
    public List<OutgoingLoad> round(List<EndpointLoad> ownLoads, List<PrefixUpdate> updates) {
        mOwnLoads = List.copyOf(ownLoads);
        mUsage.beginRound(mNeighbors.size());
        if (mTopology.isFullMesh()) {
            mNeighbors = new LinkedHashSet<>(mTopology.others());
            return meshRound(updates);
        }
        List<OutgoingLoad> outgoing = relayedRound(updates);
        mNeighbors = new LinkedHashSet<>();
        outgoing.forEach(load -> mNeighbors.addAll(load.recipients()));
        return outgoing;
    }

    /**
     * Returns the processes that this one sends to since the last round. What each process passes
     * on to its neighbors reaches all processes. Their order depends on the messages alone, so that
     * a simulation can be repeated.
     */
    public Set<String> neighbors() {
        return Collections.unmodifiableSet(mNeighbors);
    }

    /**
     * Returns the processes to which changes of the store are passed on that a process has sent.
     * What the relay of another group has sent goes to the own group only, since that relay has
     * sent it to the other groups, too.
     *
     * @param sender process that sent them, or this one if it has read them
     */
    public Set<String> recipientsOfChanges(String sender) {
        if (mTopology.isFullMesh()) {
            return Set.of();
        }
        Set<String> recipients = new LinkedHashSet<>(mNeighbors);
        recipients.remove(sender);
        if (!mTopology.ownGroup().contains(sender)) {
            recipients.retainAll(mTopology.ownGroup());
        }
        return recipients;
    }

    private List<OutgoingLoad> meshRound(List<PrefixUpdate> updates) {
        mUpdatesForGroups.clear();
        boolean isIdle = mOwnLoads.isEmpty();
        // The first idle message clears the load at the peers; later ones tell an idle process
        // from one that is not heard.
        Optional<UsageSummary> usage = mUsage.ownToSend();
        boolean isNews = !isIdle || !mWasIdle || !updates.isEmpty() || usage.isPresent();
        mWasIdle = isIdle;
        mSilentRounds = isNews || mSilentRounds == MAX_SILENT_ROUNDS ? 0 : mSilentRounds + 1;
        return mSilentRounds == 0
                ? List.of(
                        outgoing(
                                LoadScope.PROCESS,
                                mOwnLoads,
                                updates,
                                usage,
                                mTopology.others(),
                                1))
                : List.of();
    }

    private List<OutgoingLoad> relayedRound(List<PrefixUpdate> updates) {
        List<String> relays = new ArrayList<>(mRelays.choose(mTopology.ownGroup(), mSelf));
        boolean isFirstChoice = relays.remove(mSelf);
        List<OutgoingLoad> outgoing = new ArrayList<>();
        if (!relays.isEmpty()) {
            outgoing.add(
                    outgoing(LoadScope.PROCESS, mOwnLoads, updates, mUsage.ownToSend(), relays, 1));
        }
        List<String> members = members();
        if (isFirstChoice || !members.isEmpty()) {
            queue(updates, mUpdatesForGroups);
            queue(updates, mUpdatesForMembers);
            relay(members, outgoing);
        }
        mUpdatesForGroups.clear();
        mUpdatesForMembers.clear();
        return outgoing;
    }

    private void relay(List<String> members, List<OutgoingLoad> outgoing) {
        Map<String, EndpointLoad> group = new HashMap<>();
        addAll(group, mOwnLoads);
        members.forEach(member -> addAll(group, mProcesses.loadsOf(member)));
        Set<String> recipients = new LinkedHashSet<>();
        for (List<String> other : mTopology.otherGroups()) {
            recipients.addAll(mOtherRelays.choose(other, mSelf));
        }
        outgoing.add(
                outgoing(
                        LoadScope.GROUP,
                        List.copyOf(group.values()),
                        List.copyOf(mUpdatesForGroups),
                        mUsage.groupToSend(members),
                        List.copyOf(recipients),
                        1 + members.size()));
        List<PrefixUpdate> updates = List.copyOf(mUpdatesForMembers);
        Map<String, EndpointLoad> others = otherGroups();
        for (String member : members) {
            Map<String, EndpointLoad> load = new HashMap<>(others);
            addAll(load, mOwnLoads);
            List<String> rest = members.stream().filter(name -> !name.equals(member)).toList();
            rest.forEach(name -> addAll(load, mProcesses.loadsOf(name)));
            outgoing.add(
                    outgoing(
                            LoadScope.FLEET,
                            List.copyOf(load.values()),
                            updates,
                            mUsage.fleetToSend(rest, mTopology.otherGroups(), mGroups::isFresh),
                            List.of(member),
                            processesOfOtherGroups() + members.size()));
        }
    }

    private OutgoingLoad outgoing(
            LoadScope scope,
            List<EndpointLoad> loads,
            List<PrefixUpdate> updates,
            Optional<UsageSummary> usage,
            List<String> recipients,
            int processes) {
        LoadMessage message =
                new LoadMessage(
                        mSelf,
                        mIncarnation,
                        ++mSequence,
                        scope,
                        loads,
                        updates,
                        mStoreProgress,
                        usage,
                        processes,
                        sentMillis());
        return new OutgoingLoad(message, recipients);
    }

    /** Returns the time since the start of this exchange; never 0, which stands for unknown. */
    private long sentMillis() {
        return 1 + (mClock.nanoTime() - mStartNanos) / NANOS_PER_MILLI;
    }

    /** Returns the members of this process's group that have sent to it recently. */
    private List<String> members() {
        return mTopology.ownGroup().stream()
                .filter(name -> !name.equals(mSelf) && mProcesses.isFresh(name))
                .toList();
    }

    private Map<String, EndpointLoad> otherGroups() {
        Map<String, EndpointLoad> total = new LinkedHashMap<>();
        otherRelays().forEach(relay -> addAll(total, mGroups.loadsOf(relay)));
        return total;
    }

    private int processesOfOtherGroups() {
        return otherRelays().stream().mapToInt(mGroups::processesOf).sum();
    }

    /** Returns the best ranked relay of each other group that has sent recently. */
    private List<String> otherRelays() {
        List<String> relays = new ArrayList<>();
        for (List<String> group : mTopology.otherGroups()) {
            group.stream().filter(mGroups::isFresh).findFirst().ifPresent(relays::add);
        }
        return relays;
    }

    /**
     * Returns how many processes the load of {@link #peerTotals} is summed over, with this one. A
     * group whose relay is not heard, or a part of the fleet that is cut off, is missing in it.
     */
    public int heardProcesses() {
        if (mTopology.isFullMesh()) {
            return 1 + mProcesses.peers();
        }
        List<String> members = members();
        if (members.isEmpty() && mFleet.peers() > 0) {
            return 1 + mFleet.latestProcesses();
        }
        return 1 + members.size() + processesOfOtherGroups();
    }

    private static void addAll(Map<String, EndpointLoad> total, List<EndpointLoad> loads) {
        loads.forEach(load -> total.merge(load.endpoint(), load, EndpointLoad::plus));
    }

    /**
     * Returns the load by endpoint, summed over all other processes; empty when nothing recent is
     * known.
     */
    public Optional<Map<String, EndpointLoad>> peerTotals() {
        if (mTopology.isFullMesh()) {
            return mProcesses.peers() > 0 ? Optional.of(mProcesses.totals()) : Optional.empty();
        }
        // A process that relays knows more recent sums than any relay can send to it.
        List<String> members = members();
        if (members.isEmpty() && mFleet.peers() > 0) {
            return mFleet.latest();
        }
        if (members.isEmpty() && mGroups.peers() == 0) {
            return Optional.empty();
        }
        Map<String, EndpointLoad> total = otherGroups();
        members.forEach(member -> addAll(total, mProcesses.loadsOf(member)));
        return Optional.of(total);
    }

    /** Returns the usage of client accounts by all other processes, as far as it is known. */
    public UsageSummary peerUsage() {
        if (mTopology.isFullMesh()) {
            return mUsage.ofProcesses(mTopology.others());
        }
        List<String> members = members();
        return members.isEmpty()
                ? mUsage.reportedBy(mTopology.ownGroup())
                : mUsage.ofMembersAndGroups(members, mTopology.otherGroups(), mGroups::isFresh);
    }
}
