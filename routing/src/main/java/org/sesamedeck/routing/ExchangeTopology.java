package org.sesamedeck.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.sesamedeck.core.HashMixer;

/**
 * Which processes exchange load messages with each other. Every process derives the same topology
 * from the list of processes, without asking the others.
 *
 * <p>Few processes send to all others. More are divided into groups of about the square root of
 * their number, so that neither the size of a group nor the number of groups grows with the fleet
 * itself. The list is divided in the order in which it is given, so that neighbors in it share a
 * group. Within a group, the members are ranked by a hash of their names; the first one that
 * responds relays for the group.
 */
final class ExchangeTopology {
    /** Up to this many processes, a message to every other one costs less than relaying. */
    private static final int MAX_FULL_MESH = 16;

    private static final ExchangeTopology EMPTY = new ExchangeTopology(List.of(), 0, List.of());

    private final List<List<String>> mGroups;
    private final int mOwnGroup;
    private final List<String> mOthers;

    private ExchangeTopology(List<List<String>> groups, int ownGroup, List<String> others) {
        mGroups = groups;
        mOwnGroup = ownGroup;
        mOthers = others;
    }

    static ExchangeTopology empty() {
        return EMPTY;
    }

    /**
     * Returns the topology of the given processes.
     *
     * @param self name of this process; added when the list lacks it
     * @param processes names in an order that all processes agree on
     */
    static ExchangeTopology of(String self, List<String> processes) {
        List<String> all = new ArrayList<>(processes);
        if (!all.contains(self)) {
            all.add(self);
        }
        List<String> others = all.stream().filter(name -> !name.equals(self)).toList();
        if (all.size() <= MAX_FULL_MESH) {
            return new ExchangeTopology(List.of(all), 0, others);
        }
        int groupCount = (int) Math.ceil(Math.sqrt(all.size()));
        List<List<String>> groups = new ArrayList<>();
        int ownGroup = 0;
        for (int group = 0; group < groupCount; group++) {
            int from = (int) ((long) all.size() * group / groupCount);
            int to = (int) ((long) all.size() * (group + 1) / groupCount);
            List<String> members = new ArrayList<>(all.subList(from, to));
            members.sort(Comparator.comparingLong(ExchangeTopology::rank));
            if (members.contains(self)) {
                ownGroup = group;
            }
            groups.add(List.copyOf(members));
        }
        return new ExchangeTopology(List.copyOf(groups), ownGroup, others);
    }

    private static long rank(String name) {
        return HashMixer.mix(name.hashCode());
    }

    /** Returns whether every process sends to every other one. */
    boolean isFullMesh() {
        return mGroups.size() <= 1;
    }

    /** Returns all processes but this one. */
    List<String> others() {
        return mOthers;
    }

    /** Returns the members of this process's group by rank, including this process. */
    List<String> ownGroup() {
        return mGroups.isEmpty() ? List.of() : mGroups.get(mOwnGroup);
    }

    /** Returns whether this process's group is one of at most the given number, evenly spread. */
    boolean isOneOfSpread(int number) {
        int stride = (mGroups.size() + number - 1) / number;
        return mOwnGroup % Math.max(1, stride) == 0;
    }

    /** Returns the other groups, each by rank. */
    List<List<String>> otherGroups() {
        List<List<String>> groups = new ArrayList<>(mGroups);
        if (!groups.isEmpty()) {
            groups.remove(mOwnGroup);
        }
        return groups;
    }
}
