package org.sesamedeck.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.Confirmation;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.IndirectProbe;
import org.sesamedeck.wire.generated.MemberUpdate;
import org.sesamedeck.wire.generated.Probe;
import org.sesamedeck.wire.generated.ProbeReply;

/**
 * SWIM-style failure detection between control processes. Confined to the control thread; {@link
 * #tick()} drives all periodic work. It is used to rank candidates for leases and to select relays;
 * no safety property depends on it.
 *
 * <p>A probe or a reply also carries the last known state of the receiver when that is not "alive".
 * This lets a member refute it at the first contact, and it lets two sides that declared each other
 * dead during a partition merge again: dead members, seeds and nodes of the host list that are not
 * present are probed at a low rate.
 */
public final class Membership {
    private static final long PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);
    private static final Duration INDIRECT_TIMEOUT = Duration.ofMillis(1100);
    private static final long SUSPICION_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long REJOIN_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();
    // A longer gap between ticks means that this process was paused; calls that timed out meanwhile
    // are no evidence that their targets failed.
    private static final long MAX_TICK_GAP_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int INDIRECT_PROBES = 3;
    private static final int PROBES_PER_SUSPECT = 8;
    private static final int RANDOM_UPDATES = 2;
    private static final int LEAVE_MESSAGES = 8;

    private final Clock mClock;
    private final Random mRandom;
    private final PeerTransport mTransport;
    private final ConfirmationExchange mConfirmationExchange;
    private final List<HostAddress> mSeeds;
    private final Map<String, Member> mMembers = new TreeMap<>();
    private final Map<String, Long> mSuspectedAt = new TreeMap<>();
    private final UpdateQueue mQueue = new UpdateQueue();
    private final List<String> mProbeOrder = new ArrayList<>();
    private final List<MembershipListener> mListeners = new ArrayList<>();
    private Member mSelf;
    private long mLastTick;
    private long mResumedAt;
    private long mNextProbe;
    private long mNextRejoin;

    private Membership(
            Clock clock,
            Random random,
            PeerTransport transport,
            ConfirmationExchange exchange,
            Member self,
            List<HostAddress> seeds) {
        mClock = clock;
        mRandom = random;
        mTransport = transport;
        mConfirmationExchange = exchange;
        mSelf = self;
        mSeeds = List.copyOf(seeds);
        mMembers.put(self.name(), self);
        mLastTick = clock.nanoTime();
        mResumedAt = mLastTick;
        mNextProbe = mLastTick + (long) (random.nextDouble() * PROBE_INTERVAL_NANOS);
        mNextRejoin = mLastTick;
    }

    /** Returns a membership that knows only this node and joins through the seeds. */
    public static Membership create(
            Clock clock,
            Random random,
            PeerTransport transport,
            ConfirmationExchange exchange,
            Member self,
            List<HostAddress> seeds) {
        return new Membership(clock, random, transport, exchange, self, seeds);
    }

    /** Registers a listener. */
    public void addListener(MembershipListener listener) {
        mListeners.add(listener);
    }

    /** Returns this node. */
    public Member self() {
        return mSelf;
    }

    /** Returns this node and every member that is alive or suspected, ordered by name. */
    public List<Member> present() {
        return mMembers.values().stream().filter(Member::isPresent).toList();
    }

    /** Returns this node and every member that is alive and not suspected, ordered by name. */
    public List<Member> alive() {
        return mMembers.values().stream()
                .filter(member -> member.status() == MemberStatus.ALIVE)
                .toList();
    }

    /** Returns the names of the members that are alive and not suspected, in order. */
    public List<String> aliveNames() {
        return alive().stream().map(Member::name).toList();
    }

    /** Returns a member by name, whatever its status. */
    public Optional<Member> find(String name) {
        return Optional.ofNullable(mMembers.get(name));
    }

    /** Returns up to the given number of random live members other than this node. */
    public List<Member> randomPeers(int count) {
        return randomPeers(count, Set.of());
    }

    private List<Member> randomPeers(int count, Set<String> excluded) {
        List<Member> peers = new ArrayList<>();
        for (Member member : mMembers.values()) {
            if (member.status() == MemberStatus.ALIVE
                    && !isSelf(member)
                    && !excluded.contains(member.name())) {
                peers.add(member);
            }
        }
        Collections.shuffle(peers, mRandom);
        return peers.subList(0, Math.min(count, peers.size()));
    }

    /**
     * Adds nodes of the host list that are not known yet. They count as present until a probe shows
     * otherwise.
     */
    public void addFromHostList(Collection<Member> nodes) {
        for (Member node : nodes) {
            if (!isSelf(node) && !mMembers.containsKey(node.name())) {
                apply(node.withStatus(MemberStatus.ALIVE, 0));
            }
        }
    }

    /** Removes members that are neither present nor in the host list. */
    public void removeUnlistedMembers(Set<String> hostListNames) {
        mMembers.values()
                .removeIf(member -> !member.isPresent() && !hostListNames.contains(member.name()));
    }

    /** Runs all periodic work that is due: probes, expired suspicions and attempts to rejoin. */
    public void tick() {
        long now = mClock.nanoTime();
        if (now - mLastTick > MAX_TICK_GAP_NANOS) {
            long pause = now - mLastTick;
            mResumedAt = now;
            mSuspectedAt.replaceAll((name, since) -> since + pause);
        }
        mLastTick = now;
        if (mSelf.status() == MemberStatus.LEFT) {
            return;
        }
        for (Map.Entry<String, Long> suspicion : List.copyOf(mSuspectedAt.entrySet())) {
            if (now - suspicion.getValue() >= SUSPICION_TIMEOUT_NANOS) {
                Member member = mMembers.get(suspicion.getKey());
                apply(member.withStatus(MemberStatus.DEAD, member.incarnation()));
            }
        }
        if (now >= mNextProbe) {
            mNextProbe = now + PROBE_INTERVAL_NANOS;
            nextProbeTarget().ifPresent(this::probe);
            probeSuspects();
        }
        if (now >= mNextRejoin) {
            mNextRejoin = now + REJOIN_INTERVAL_NANOS;
            rejoin();
        }
    }

    /**
     * Probes suspects so that they can refute. Each member does so with a probability that yields
     * about {@link #PROBES_PER_SUSPECT} probes of a suspect per probe interval from all members
     * together, which is enough for the suspect to learn of the suspicion.
     */
    private void probeSuspects() {
        double share = PROBES_PER_SUSPECT / (double) mMembers.size();
        for (String suspect : mSuspectedAt.keySet()) {
            if (mRandom.nextDouble() < share) {
                probeWithoutSuspicion(mMembers.get(suspect));
            }
        }
    }

    private Optional<Member> nextProbeTarget() {
        for (int attempt = 0; attempt < 2; attempt++) {
            while (!mProbeOrder.isEmpty()) {
                Member member = mMembers.get(mProbeOrder.remove(mProbeOrder.size() - 1));
                if (member != null && member.isPresent() && !isSelf(member)) {
                    return Optional.of(member);
                }
            }
            mMembers.values().stream()
                    .filter(Member::isPresent)
                    .forEach(m -> mProbeOrder.add(m.name()));
            Collections.shuffle(mProbeOrder, mRandom);
        }
        return Optional.empty();
    }

    /** Probes an absent member, or a seed whose address belongs to no present member. */
    private void rejoin() {
        Set<HostAddress> present = new LinkedHashSet<>();
        List<HostAddress> absent = new ArrayList<>();
        for (Member member : mMembers.values()) {
            if (member.isPresent()) {
                present.add(member.address());
            } else {
                absent.add(member.address());
            }
        }
        mSeeds.stream().filter(seed -> !present.contains(seed)).forEach(absent::add);
        absent.removeIf(present::contains);
        if (absent.isEmpty()) {
            return;
        }
        // A node without present peers tries every address; otherwise its peers try too, so one
        // address is enough.
        Collections.shuffle(absent, mRandom);
        for (HostAddress address : present.size() == 1 ? absent : absent.subList(0, 1)) {
            probeWithoutSuspicion(address, memberAt(address));
        }
    }

    private Optional<Member> memberAt(HostAddress address) {
        return mMembers.values().stream().filter(m -> m.address().equals(address)).findFirst();
    }

    /** Probes a member now, outside the regular order; a failure leads to indirect probes. */
    public void probe(Member member) {
        long sentAt = mClock.nanoTime();
        mTransport
                .call(member.address(), probeMessage(Optional.of(member)), PROBE_TIMEOUT)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                onReply(reply, sentAt);
                            } else if (isConclusive(sentAt)) {
                                probeIndirectly(member, sentAt);
                            }
                        });
    }

    /** Probes a member for its confirmation; a failure has no effect on its status. */
    public void probeWithoutSuspicion(Member member) {
        if (isSelf(member)) {
            return;
        }
        probeWithoutSuspicion(member.address(), Optional.of(member));
    }

    private void probeWithoutSuspicion(HostAddress address, Optional<Member> member) {
        long sentAt = mClock.nanoTime();
        mTransport
                .call(address, probeMessage(member), PROBE_TIMEOUT)
                .thenAccept(reply -> onReply(reply, sentAt));
    }

    private boolean isConclusive(long sentAt) {
        // A pause is detected at the next tick, which may run after the calls that timed out.
        return sentAt >= mResumedAt && mClock.nanoTime() - mLastTick <= MAX_TICK_GAP_NANOS;
    }

    private void probeIndirectly(Member target, long sentAt) {
        List<Member> helpers = randomPeers(INDIRECT_PROBES, Set.of(target.name()));
        if (helpers.isEmpty()) {
            suspect(target);
            return;
        }
        Envelope message =
                Envelopes.builder()
                        .setIndirectProbe(
                                IndirectProbe.newBuilder().setTarget(current(target).toMessage()))
                        .build();
        int[] pending = {helpers.size()};
        boolean[] reached = {false};
        for (Member helper : helpers) {
            mTransport
                    .call(helper.address(), message, INDIRECT_TIMEOUT)
                    .whenComplete(
                            (reply, failure) -> {
                                pending[0]--;
                                reached[0] |= failure == null;
                                if (failure == null) {
                                    reply.getProbeReply().getUpdatesList().forEach(this::accept);
                                    accept(reply.getProbeReply().getSender());
                                } else if (pending[0] == 0 && !reached[0] && isConclusive(sentAt)) {
                                    suspect(target);
                                }
                            });
        }
    }

    private Member current(Member member) {
        return mMembers.getOrDefault(member.name(), member);
    }

    private void suspect(Member target) {
        Member member = mMembers.get(target.name());
        if (member != null && member.status() == MemberStatus.ALIVE) {
            apply(member.withStatus(MemberStatus.SUSPECT, member.incarnation()));
        }
    }

    private void onReply(Envelope envelope, long sentAt) {
        ProbeReply reply = envelope.getProbeReply();
        Member sender = Member.fromMessage(reply.getSender());
        accept(reply.getSender());
        reply.getUpdatesList().forEach(this::accept);
        mConfirmationExchange.onReply(
                sender,
                reply.hasConfirmation() ? Optional.of(reply.getConfirmation()) : Optional.empty(),
                sentAt);
    }

    private Envelope probeMessage(Optional<Member> target) {
        Probe.Builder probe = Probe.newBuilder().setSender(mSelf.toMessage());
        target.filter(member -> member.status() != MemberStatus.ALIVE)
                .ifPresent(member -> probe.addUpdates(member.toMessage()));
        updates(RANDOM_UPDATES).forEach(probe::addUpdates);
        mConfirmationExchange.outgoing().ifPresent(probe::setConfirmation);
        return Envelopes.builder().setProbe(probe).build();
    }

    private List<MemberUpdate> updates(int randomCount) {
        List<MemberUpdate> updates = new ArrayList<>();
        mQueue.take(mMembers.size()).forEach(member -> updates.add(member.toMessage()));
        int free = Math.min(randomCount, UpdateQueue.MAX_UPDATES - updates.size());
        if (free > 0 && mMembers.size() > 2) {
            // A few more at random repair the state of members that missed earlier updates.
            List<Member> all = new ArrayList<>(mMembers.values());
            for (int i = 0; i < free; i++) {
                int other = i + mRandom.nextInt(all.size() - i);
                Collections.swap(all, i, other);
                updates.add(all.get(i).toMessage());
                if (i + 1 == all.size()) {
                    break;
                }
            }
        }
        return updates;
    }

    /** Handles a probe and returns the reply. */
    public Envelope onProbe(Probe probe) {
        Member sender = Member.fromMessage(probe.getSender());
        Member known = mMembers.get(sender.name());
        accept(probe.getSender());
        probe.getUpdatesList().forEach(this::accept);
        ProbeReply.Builder reply = ProbeReply.newBuilder();
        if (known != null && known.isNewerThan(sender)) {
            reply.addUpdates(known.toMessage());
        }
        boolean isNew = known == null || !known.isPresent() || known.incarnation() == 0;
        updates(isNew ? UpdateQueue.MAX_UPDATES : RANDOM_UPDATES).forEach(reply::addUpdates);
        reply.setSender(mSelf.toMessage());
        Optional<Confirmation> confirmation = mConfirmationExchange.outgoing();
        confirmation.ifPresent(reply::setConfirmation);
        return Envelopes.builder().setProbeReply(reply).build();
    }

    /** Handles a request to probe a third node; returns the target's reply. */
    public CompletableFuture<Envelope> onIndirectProbe(IndirectProbe message) {
        Member target = Member.fromMessage(message.getTarget());
        return mTransport.call(target.address(), probeMessage(Optional.of(target)), PROBE_TIMEOUT);
    }

    private void accept(MemberUpdate update) {
        if (update.getName().isEmpty()) {
            return;
        }
        apply(Member.fromMessage(update));
    }

    private void apply(Member update) {
        if (isSelf(update)) {
            refute(update);
            return;
        }
        Member known = mMembers.get(update.name());
        if (known == null ? !update.isPresent() : !update.isNewerThan(known)) {
            return;
        }
        mMembers.put(update.name(), update);
        if (update.status() == MemberStatus.SUSPECT) {
            mSuspectedAt.put(update.name(), mClock.nanoTime());
        } else {
            mSuspectedAt.remove(update.name());
        }
        mQueue.add(update);
        if (known == null || known.status() != update.status()) {
            mListeners.forEach(listener -> listener.onChange(update));
        }
    }

    private void refute(Member update) {
        if (mSelf.status() == MemberStatus.LEFT || update.incarnation() < mSelf.incarnation()) {
            return;
        }
        boolean matchesSelf =
                update.status() == MemberStatus.ALIVE && update.address().equals(mSelf.address());
        if (matchesSelf && update.incarnation() == mSelf.incarnation()) {
            return;
        }
        long incarnation = matchesSelf ? update.incarnation() : update.incarnation() + 1;
        setSelf(mSelf.withStatus(MemberStatus.ALIVE, incarnation));
    }

    private void setSelf(Member self) {
        mSelf = self;
        mMembers.put(self.name(), self);
        mQueue.add(self);
    }

    /** Announces that this node leaves; from now on it neither probes nor refutes. */
    public void leave() {
        setSelf(mSelf.withStatus(MemberStatus.LEFT, mSelf.incarnation()));
        Envelope message =
                Envelopes.builder()
                        .setProbe(Probe.newBuilder().setSender(mSelf.toMessage()))
                        .build();
        randomPeers(LEAVE_MESSAGES).forEach(peer -> mTransport.send(peer.address(), message));
    }

    private boolean isSelf(Member member) {
        return member.name().equals(mSelf.name());
    }
}
