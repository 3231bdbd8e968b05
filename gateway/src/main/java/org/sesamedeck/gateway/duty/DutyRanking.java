package org.sesamedeck.gateway.duty;

import java.util.Comparator;
import java.util.List;
import org.sesamedeck.core.HashMixer;

/**
 * The order in which processes stand in line for the duties. All processes derive the same order
 * from the names. It differs from that of the relays of load messages, so that the first in both
 * are mostly different hosts.
 */
final class DutyRanking {
    private static final long SALT = 0x64757479L;

    private final String mSelf;
    private List<String> mNames = List.of();

    DutyRanking(String self) {
        mSelf = self;
    }

    void update(List<String> names) {
        mNames =
                names.stream()
                        .sorted(
                                Comparator.comparingLong(DutyRanking::hash)
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
    }

    private static long hash(String name) {
        return HashMixer.mix(name.hashCode() ^ SALT);
    }

    /** Returns the number of processes before this one. */
    int ownRank() {
        return Math.max(0, mNames.indexOf(mSelf));
    }

    /** Returns all other processes in order. */
    List<String> others() {
        return mNames.stream().filter(name -> !name.equals(mSelf)).toList();
    }
}
