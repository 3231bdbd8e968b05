package org.sesamedeck.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.wire.generated.Confirmation;

/**
 * The configuration in force at this node, and whether the node may still act on it. Confined to
 * the control thread.
 *
 * <p>A version reaches a node some time after it was accepted, so the node must stop admitting
 * requests before that time exceeds the guaranteed bound. It therefore keeps the latest monotonic
 * instant at which the version in force was certainly still the accepted one, and admits only for a
 * limited time after it. There are three sources of such an instant:
 *
 * <ul>
 *   <li>The platform was read: the instant before the read was sent.
 *   <li>A peer replied with the age of its own confirmation: the instant before the request was
 *       sent, less that age. Only replies count, because the transit time of a one-way message is
 *       unknown; a message can stay in a buffer for as long as its receiver is paused.
 *   <li>A majority of nodes replied, none of which knew a prepared version above the one in force.
 *       A version is written only after a majority acknowledged it as prepared, and two majorities
 *       have a node in common. So, at the instant before the oldest of these requests was sent, no
 *       higher version had been accepted, even if the platform cannot be reached.
 * </ul>
 *
 * <p>A restarted node has lost the version that it acknowledged as prepared. It recovers this from
 * a majority of the other nodes. When it starts from the platform instead, it reports the next
 * version as prepared until a majority of the others replied or {@link #ASSUMED_PREPARED_PERIOD}
 * has passed; a holder writes within that time of the first acknowledgement or loses its lease, and
 * its successor makes the late write fail.
 */
public final class ConfigurationState implements ConfirmationExchange {
    /** Time after the last confirmation at which a node stops admitting requests. */
    public static final Duration CONFIRMATION_LIMIT = Duration.ofSeconds(4);

    /**
     * Time after a start from the platform during which the node assumes that it acknowledged the
     * next version before.
     */
    static final Duration ASSUMED_PREPARED_PERIOD = Duration.ofSeconds(15);

    private final Clock mClock;
    private final String mSelf;
    private final Map<String, PeerReply> mReplies = new HashMap<>();
    private final List<Consumer<AcceptedConfiguration>> mListeners = new ArrayList<>();
    private Consumer<Member> mPuller = peer -> {};
    private AcceptedConfiguration mInForce = AcceptedConfiguration.none();
    private Set<String> mHostListNodes = Set.of();
    private int mKnownNodes = Integer.MAX_VALUE;
    private boolean mIsRecovered;
    private long mPrepared;
    private long mRecoveredPrepared;
    private long mAssumedPreparedVersion;
    private long mAssumedPreparedUntil;
    private ConfirmedVersion mConfirmed;
    // Confirms a version that this node has not adopted yet.
    private ConfirmedVersion mPendingConfirmation;

    private record PeerReply(long sentAt, long version, long prepared) {}

    private record ConfirmedVersion(long version, long instant) {}

    private ConfigurationState(Clock clock, String self) {
        mClock = clock;
        mSelf = self;
    }

    /** Returns the state of a node that has just started and knows no version. */
    public static ConfigurationState create(Clock clock, String self) {
        return new ConfigurationState(clock, self);
    }

    /** Sets the callback that pulls documents from a peer that knows a higher version. */
    void setPuller(Consumer<Member> puller) {
        mPuller = puller;
    }

    /** Registers a listener for new versions in force. */
    public void addListener(Consumer<AcceptedConfiguration> listener) {
        mListeners.add(listener);
    }

    /** Returns the version in force; version 0 when none is known. */
    public AcceptedConfiguration inForce() {
        return mInForce;
    }

    /** Returns the quorum of the host list and of the version in force. */
    public JointQuorum quorum() {
        return JointQuorum.of(mHostListNodes, mInForce.nodes());
    }

    /** Sets the nodes of the host list. */
    void onHostList(Set<String> nodeNames) {
        mHostListNodes = Set.copyOf(nodeNames);
    }

    /**
     * Sets the number of nodes known from the settings, the membership and the host list, including
     * this one.
     */
    void setKnownNodes(int knownNodes) {
        mKnownNodes = knownNodes;
        evaluateReplies();
    }

    /**
     * Puts a version in force if it is higher than the current one.
     *
     * @return whether it was higher
     * @throws SesamedeckException with INVALID_CONFIGURATION when it cannot be parsed; the version
     *     in force is kept
     */
    boolean adopt(AcceptedConfiguration accepted) {
        if (accepted.version() <= mInForce.version()) {
            return false;
        }
        accepted.toConfiguration();
        mInForce = accepted;
        if (mPendingConfirmation != null && mPendingConfirmation.version() <= accepted.version()) {
            ConfirmedVersion pending = mPendingConfirmation;
            mPendingConfirmation = null;
            confirm(pending.version(), pending.instant());
        }
        mListeners.forEach(listener -> listener.accept(accepted));
        evaluateReplies();
        return true;
    }

    /**
     * Records a read of the platform.
     *
     * @param version the accepted version that was read, 0 when there is none
     * @param sentAtNanos monotonic time before the read was sent, in nanoseconds
     */
    public void onPlatformRead(long version, long sentAtNanos) {
        if (!mIsRecovered && version <= mInForce.version()) {
            mIsRecovered = true;
            mAssumedPreparedVersion = version + 1;
            mAssumedPreparedUntil = mClock.nanoTime() + ASSUMED_PREPARED_PERIOD.toNanos();
        }
        confirm(version, sentAtNanos);
    }

    private void confirm(long version, long instant) {
        if (version > mInForce.version()) {
            if (mPendingConfirmation == null || version >= mPendingConfirmation.version()) {
                mPendingConfirmation = new ConfirmedVersion(version, instant);
            }
        } else if (version == mInForce.version()
                && (mConfirmed == null
                        || mConfirmed.version() < version
                        || mConfirmed.instant() < instant)) {
            mConfirmed = new ConfirmedVersion(version, instant);
        }
    }

    /**
     * Records that a version is about to be accepted.
     *
     * @throws SesamedeckException with UNAVAILABLE while this node is starting, because it has lost
     *     the versions that it acknowledged before
     */
    public void prepare(long version) {
        if (!mIsRecovered) {
            throw SesamedeckException.of(ResultCode.UNAVAILABLE, mSelf + " is starting");
        }
        mPrepared = Math.max(mPrepared, version);
    }

    @Override
    public Optional<Confirmation> outgoing() {
        if (!mIsRecovered) {
            return Optional.empty();
        }
        Confirmation.Builder confirmation =
                Confirmation.newBuilder()
                        .setVersion(mInForce.version())
                        .setPreparedVersion(highestPrepared());
        confirmationAge()
                .ifPresent(
                        age ->
                                // Rounded up, so that conversion to milliseconds never makes an age
                                // shorter.
                                confirmation.setAgeMillis(age.plusNanos(999_999).toMillis()));
        return Optional.of(confirmation.build());
    }

    private long highestPrepared() {
        long assumed = mClock.nanoTime() < mAssumedPreparedUntil ? mAssumedPreparedVersion : 0;
        return Math.max(Math.max(mPrepared, mRecoveredPrepared), assumed);
    }

    @Override
    public void onReply(Member peer, Optional<Confirmation> confirmation, long sentAtNanos) {
        if (confirmation.isEmpty()) {
            mReplies.remove(peer.name());
            return;
        }
        Confirmation reply = confirmation.get();
        mReplies.merge(
                peer.name(),
                new PeerReply(sentAtNanos, reply.getVersion(), reply.getPreparedVersion()),
                (known, added) -> known.sentAt() > added.sentAt() ? known : added);
        if (reply.hasAgeMillis()) {
            confirm(
                    reply.getVersion(),
                    sentAtNanos - Duration.ofMillis(reply.getAgeMillis()).toNanos());
        }
        if (reply.getVersion() > mInForce.version()) {
            mPuller.accept(peer);
        }
        evaluateReplies();
    }

    private void evaluateReplies() {
        JointQuorum quorum = quorum();
        if (!mIsRecovered || highestPrepared() > Math.max(mPrepared, mInForce.version())) {
            recoverFromPeers(quorum);
        }
        if (!mIsRecovered || quorum.isEmpty()) {
            return;
        }
        OptionalLong instant = quorum.majorityInstant(this::confirmingInstant);
        instant.ifPresent(nanos -> confirm(mInForce.version(), nanos));
    }

    private OptionalLong confirmingInstant(String node) {
        if (node.equals(mSelf)) {
            return highestPrepared() > mInForce.version()
                    ? OptionalLong.empty()
                    : OptionalLong.of(mClock.nanoTime());
        }
        PeerReply reply = mReplies.get(node);
        boolean isConfirming =
                reply != null
                        && reply.version() <= mInForce.version()
                        && reply.prepared() <= mInForce.version();
        return isConfirming ? OptionalLong.of(reply.sentAt()) : OptionalLong.empty();
    }

    private void recoverFromPeers(JointQuorum quorum) {
        // This node lost its state at the restart, so it does not count towards its own majority.
        Set<String> others = new HashSet<>(mReplies.keySet());
        others.remove(mSelf);
        long highest = mReplies.values().stream().mapToLong(PeerReply::version).max().orElse(0);
        if (highest > mInForce.version()) {
            return;
        }
        if (!mIsRecovered && isMajority(quorum, others)) {
            mIsRecovered = true;
            mRecoveredPrepared =
                    mReplies.values().stream().mapToLong(PeerReply::prepared).max().orElse(0);
        }
        others.removeIf(node -> mReplies.get(node).prepared() > mInForce.version());
        if (mIsRecovered && isMajority(quorum, others)) {
            mRecoveredPrepared = 0;
            mAssumedPreparedUntil = mClock.nanoTime();
        }
    }

    private boolean isMajority(JointQuorum quorum, Set<String> others) {
        return quorum.isEmpty() ? others.size() > mKnownNodes / 2 : quorum.isMajority(others);
    }

    /** Returns whether the version in force is known: the node is no longer starting. */
    public boolean isRecovered() {
        return mIsRecovered;
    }

    /** Returns the time since the version in force was confirmed; empty when it never was. */
    public Optional<Duration> confirmationAge() {
        return mConfirmed == null || mConfirmed.version() != mInForce.version()
                ? Optional.empty()
                : Optional.of(
                        Duration.ofNanos(Math.max(0, mClock.nanoTime() - mConfirmed.instant())));
    }

    /** Returns whether this node may admit requests now, or the reason why not. */
    public Admission admission() {
        if (!mIsRecovered) {
            return Admission.refused(
                    "starting: the configuration in force is not known yet, neither from the"
                            + " platform nor from a majority of nodes");
        }
        if (mInForce.version() == 0) {
            // Without client accounts, every caller would get a permanent refusal instead of a
            // temporary one.
            return Admission.refused("no configuration has been accepted yet");
        }
        Optional<Duration> age = confirmationAge();
        if (age.isPresent() && age.get().compareTo(CONFIRMATION_LIMIT) <= 0) {
            return Admission.granted();
        }
        String since =
                age.map(value -> "was last confirmed " + value.toMillis() + " ms ago")
                        .orElse("was never confirmed");
        return Admission.refused(
                "configuration version "
                        + mInForce.version()
                        + " "
                        + since
                        + "; neither the platform nor a majority of nodes can be reached");
    }
}
