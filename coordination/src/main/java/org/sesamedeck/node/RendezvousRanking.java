package org.sesamedeck.node;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.HashMixer;

/**
 * Ranks names for a key by rendezvous hashing: processes with the same members agree on the order,
 * and the loss of one name moves only the keys that it was first for.
 */
public final class RendezvousRanking {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private record Weighted(String name, long weight) {}

    private RendezvousRanking() {}

    /** Returns the names in the order of their rank for the key, the first ranked first. */
    public static List<String> rank(String key, Collection<String> names) {
        return names.stream()
                .distinct()
                .map(name -> new Weighted(name, hash(key + "\n" + name)))
                .sorted(
                        Comparator.comparingLong(Weighted::weight)
                                .reversed()
                                .thenComparing(Weighted::name))
                .map(Weighted::name)
                .toList();
    }

    /** Returns the first ranked name, or empty when there are no names. */
    public static Optional<String> first(String key, Collection<String> names) {
        return rank(key, names).stream().findFirst();
    }

    /** Returns a hash of a text that is the same in every process and release. */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (value & 0xff)) * FNV_PRIME;
        }
        // FNV leaves the high bits of short texts poorly mixed.
        return HashMixer.mix(hash);
    }
}
