package org.sesamedeck.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Passes changes of objects in the store on between the processes of a fleet. Each process sends
 * the same changes once, to the neighbors that its topology names, and gives them to its own
 * follower. Changes that are lost on the way are read from the store. Confined to one thread.
 */
final class ChangeSharing {
    /** Larger datagrams are mostly lost in fragments, so each process reads what they tell. */
    private static final int MAX_BYTES = 8 * 1024;

    private final String mSelf;
    private final Function<String, Collection<String>> mRecipients;
    private final Random mRandom;
    private final Transport mTransport;
    private final AtomicLong mSent = new AtomicLong();
    private final AtomicLong mReceived = new AtomicLong();
    private final Map<String, Long> mSentRevisions = new HashMap<>();
    private final Map<String, Follower> mFollowers = new HashMap<>();

    /** What one kind of objects is followed by. */
    private record Follower(Predicate<SharedChanges> validity, Consumer<SharedChanges> receiver) {}

    /** Sends bytes to other processes. */
    interface Transport {
        /** Sends a datagram to each recipient. */
        void send(byte[] bytes, Collection<String> recipients);
    }

    /**
     * Creates a part that knows no followers.
     *
     * @param recipients returns the processes to which changes that a process has sent are passed
     *     on from here
     * @param random chooses the order of recipients
     */
    ChangeSharing(
            String self,
            Function<String, Collection<String>> recipients,
            Random random,
            Transport transport) {
        mSelf = self;
        mRecipients = recipients;
        mRandom = random;
        mTransport = transport;
    }

    /**
     * Sets the follower of a kind of objects.
     *
     * @param validity whether changes can be read and contain what they claim; others are not
     *     passed on
     */
    void setFollower(
            String kind, Predicate<SharedChanges> validity, Consumer<SharedChanges> receiver) {
        mFollowers.put(kind, new Follower(validity, receiver));
    }

    /** Sends changes that this process has read. */
    void share(String kind, long baseRevision, long revision, byte[] source) {
        if (source.length > 0 && source.length <= SharedChangesCodec.MAX_SOURCE_BYTES) {
            passOn(new SharedChanges(mSelf, kind, baseRevision, revision, source));
        }
    }

    /** Passes valid changes on that another process has sent. */
    void receive(SharedChanges changes) {
        Follower follower = mFollowers.get(changes.kind());
        if (follower == null) {
            return;
        }
        mReceived.incrementAndGet();
        if (isUnsent(changes) && follower.validity().test(changes)) {
            passOn(changes);
        }
        follower.receiver().accept(changes);
    }

    /** Adds the numbers of datagrams in the Prometheus text format; called from any thread. */
    void write(MetricsText text) {
        text.value("sesamedeck_shared_changes_sent_total", mSent.get());
        text.value("sesamedeck_shared_changes_received_total", mReceived.get());
    }

    private boolean isUnsent(SharedChanges changes) {
        return changes.revision() > mSentRevisions.getOrDefault(changes.kind(), 0L);
    }

    private void passOn(SharedChanges changes) {
        if (!isUnsent(changes)) {
            return;
        }
        List<String> recipients = new ArrayList<>(mRecipients.apply(changes.sender()));
        if (recipients.isEmpty()) {
            return;
        }
        mSentRevisions.put(changes.kind(), changes.revision());
        SharedChanges own =
                new SharedChanges(
                        mSelf,
                        changes.kind(),
                        changes.baseRevision(),
                        changes.revision(),
                        changes.source());
        byte[] bytes = SharedChangesCodec.encode(own);
        if (bytes.length <= MAX_BYTES) {
            // A slow link drops the last datagrams of a burst, which must not always be those to
            // the
            // same process.
            Collections.shuffle(recipients, mRandom);
            mSent.addAndGet(recipients.size());
            mTransport.send(bytes, recipients);
        }
    }
}
