package org.sesamedeck.node;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;

/**
 * Content of the document {@code hosts}.
 *
 * @param hosts rows of the host list, ordered by name
 */
public record HostListDocument(List<HostEntry> hosts) {
    /** Key of the document. */
    public static final String DOCUMENT_KEY = "hosts";

    private static final int RELAY_HASH_BITS = 16;

    /** Orders the rows, so that equal lists have equal content. */
    public HostListDocument {
        hosts =
                hosts == null
                        ? List.of()
                        : hosts.stream().sorted(Comparator.comparing(HostEntry::name)).toList();
    }

    /** Returns an empty list. */
    public static HostListDocument empty() {
        return new HostListDocument(List.of());
    }

    /** Returns the control processes of the list, including those that are leaving. */
    public List<HostEntry> nodes() {
        return hosts.stream().filter(host -> host.kind() == HostKind.NODE).toList();
    }

    /** Returns the names of the control processes of the list, including those that are leaving. */
    public Set<String> nodeNames() {
        return nodes().stream().map(HostEntry::name).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the version after a given one. The platform gives its list no version, so relays
     * number the lists themselves. The low bits hold a hash of the relay name, so that two relays
     * do not produce the same version with different contents.
     */
    static long nextVersion(long version, String relay) {
        long relayBits = RendezvousRanking.hash(relay) & ((1L << RELAY_HASH_BITS) - 1);
        return (((version >> RELAY_HASH_BITS) + 1) << RELAY_HASH_BITS) | relayBits;
    }

    /** Returns the document with this content. */
    public VersionedDocument toDocument(long version) {
        return VersionedDocument.of(DOCUMENT_KEY, version, JsonCodec.format(this));
    }

    /** Reads the content of a document. */
    public static HostListDocument parse(VersionedDocument document) {
        return JsonCodec.parse(DOCUMENT_KEY, document.content(), HostListDocument.class);
    }
}
