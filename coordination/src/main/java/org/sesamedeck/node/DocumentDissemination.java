package org.sesamedeck.node;

import com.google.protobuf.UnsafeByteOperations;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.Digest;
import org.sesamedeck.wire.generated.DigestEntry;
import org.sesamedeck.wire.generated.Document;
import org.sesamedeck.wire.generated.DocumentReply;
import org.sesamedeck.wire.generated.DocumentRequest;
import org.sesamedeck.wire.generated.Envelope;

/**
 * Disseminates documents to all nodes by gossip. A new version is announced to a few random members
 * at once, and digests are exchanged with one random member every second; content is pulled only
 * when it is newer. A version is never replaced by a lower one, whatever a peer sends. Confined to
 * the control thread; {@link #tick()} drives all periodic work.
 */
public final class DocumentDissemination {
    private static final System.Logger LOGGER =
            System.getLogger(DocumentDissemination.class.getName());
    private static final int FANOUT = 4;
    private static final long EXCHANGE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    // Half of the largest frame; documents that do not fit are pulled with a later request.
    private static final int MAX_REPLY_BYTES = 1024 * 1024;

    private final Clock mClock;
    private final PeerTransport mTransport;
    private final Membership mMembership;
    private final Map<String, VersionedDocument> mDocuments = new TreeMap<>();
    // Versions with a pull in progress, by key.
    private final Map<String, Long> mPulledVersions = new HashMap<>();
    private final List<DocumentListener> mListeners = new ArrayList<>();
    private long mNextExchange;

    private DocumentDissemination(
            Clock clock, Random random, PeerTransport transport, Membership membership) {
        mClock = clock;
        mTransport = transport;
        mMembership = membership;
        mNextExchange = clock.nanoTime() + (long) (random.nextDouble() * EXCHANGE_INTERVAL_NANOS);
    }

    /** Returns a dissemination without documents. */
    public static DocumentDissemination create(
            Clock clock, Random random, PeerTransport transport, Membership membership) {
        return new DocumentDissemination(clock, random, transport, membership);
    }

    /** Registers a listener. */
    public void addListener(DocumentListener listener) {
        mListeners.add(listener);
    }

    /** Returns the highest version known of a document. */
    public Optional<VersionedDocument> get(String key) {
        return Optional.ofNullable(mDocuments.get(key));
    }

    /** Returns the highest known version of a document; 0 when none is known. */
    public long versionOf(String key) {
        VersionedDocument document = mDocuments.get(key);
        return document == null ? 0 : document.version();
    }

    /** Returns all documents, ordered by key. */
    public List<VersionedDocument> documents() {
        return List.copyOf(mDocuments.values());
    }

    /**
     * Adds a document from its source or from a peer, and announces it to peers.
     *
     * @return false when a version at least as high is known; nothing changes then
     */
    public boolean publish(VersionedDocument document) {
        if (document.version() <= versionOf(document.key())) {
            return false;
        }
        mDocuments.put(document.key(), document);
        announce(document);
        mListeners.forEach(listener -> listener.onDocument(document));
        return true;
    }

    private void announce(VersionedDocument document) {
        Envelope message =
                Envelopes.builder()
                        .setDigest(
                                Digest.newBuilder()
                                        .setSender(mMembership.self().name())
                                        .addEntries(entry(document)))
                        .build();
        mMembership.randomPeers(FANOUT).forEach(peer -> mTransport.send(peer.address(), message));
    }

    private static DigestEntry entry(VersionedDocument document) {
        return DigestEntry.newBuilder()
                .setKey(document.key())
                .setVersion(document.version())
                .build();
    }

    /** Exchanges digests when it is due. */
    public void tick() {
        long now = mClock.nanoTime();
        if (now >= mNextExchange) {
            mNextExchange = now + EXCHANGE_INTERVAL_NANOS;
            mMembership.randomPeers(1).forEach(this::exchange);
        }
    }

    /** Exchanges digests with a member now. */
    public void exchange(Member peer) {
        Digest.Builder digest = Digest.newBuilder().setSender(mMembership.self().name());
        mDocuments.values().forEach(document -> digest.addEntries(entry(document)));
        mTransport
                .call(peer.address(), Envelopes.builder().setDigest(digest).build(), CALL_TIMEOUT)
                .thenAccept(reply -> pullNewer(peer, reply.getDigest().getEntriesList()));
    }

    /**
     * Handles an announcement or a digest.
     *
     * @return the reply: keys and versions of the documents that are newer at this node
     */
    public Envelope onDigest(Digest digest) {
        Map<String, Long> versions = new HashMap<>();
        digest.getEntriesList().forEach(e -> versions.put(e.getKey(), e.getVersion()));
        mMembership
                .find(digest.getSender())
                .ifPresent(sender -> pullNewer(sender, digest.getEntriesList()));
        Digest.Builder reply = Digest.newBuilder().setSender(mMembership.self().name());
        for (VersionedDocument document : mDocuments.values()) {
            if (document.version() > versions.getOrDefault(document.key(), 0L)) {
                reply.addEntries(entry(document));
            }
        }
        return Envelopes.builder().setDigest(reply).build();
    }

    private void pullNewer(Member peer, List<DigestEntry> entries) {
        List<String> keys = new ArrayList<>();
        for (DigestEntry entry : entries) {
            boolean isNewer = entry.getVersion() > versionOf(entry.getKey());
            if (isNewer && entry.getVersion() > mPulledVersions.getOrDefault(entry.getKey(), 0L)) {
                mPulledVersions.put(entry.getKey(), entry.getVersion());
                keys.add(entry.getKey());
            }
        }
        if (keys.isEmpty()) {
            return;
        }
        Envelope request =
                Envelopes.builder()
                        .setDocumentRequest(DocumentRequest.newBuilder().addAllKeys(keys))
                        .build();
        mTransport
                .call(peer.address(), request, CALL_TIMEOUT)
                .whenComplete(
                        (reply, failure) -> {
                            keys.forEach(mPulledVersions::remove);
                            if (failure == null) {
                                reply.getDocumentReply().getDocumentsList().forEach(this::accept);
                            }
                        });
    }

    private void accept(Document message) {
        VersionedDocument document =
                new VersionedDocument(
                        message.getKey(), message.getVersion(), message.getContent().toByteArray());
        if (document.version() <= versionOf(document.key())) {
            return;
        }
        try {
            document.content();
        } catch (SesamedeckException malformed) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    "ignoring a document that cannot be decompressed",
                    malformed);
            return;
        }
        publish(document);
    }

    /** Returns the requested documents, as many as fit into one reply. */
    public Envelope onRequest(DocumentRequest request) {
        DocumentReply.Builder reply = DocumentReply.newBuilder();
        int bytes = 0;
        for (String key : request.getKeysList()) {
            VersionedDocument document = mDocuments.get(key);
            if (document == null) {
                continue;
            }
            bytes += document.compressed().length;
            if (bytes > MAX_REPLY_BYTES && reply.getDocumentsCount() > 0) {
                break;
            }
            reply.addDocuments(
                    Document.newBuilder()
                            .setKey(key)
                            .setVersion(document.version())
                            .setContent(UnsafeByteOperations.unsafeWrap(document.compressed())));
        }
        return Envelopes.builder().setDocumentReply(reply).build();
    }
}
