package org.sesamedeck.node;

import java.util.Collection;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;

/**
 * A quorum that needs a majority of each of two sets of nodes: the nodes of the host list, and
 * those that were in the host list when the version in force was accepted. With the first set
 * alone, nodes added on one side of a partition could form a majority there while the other side
 * still counts the old list. A node that was removed from the host list no longer exists and counts
 * in neither set.
 *
 * @param hostListNodes nodes of the host list
 * @param recordedNodes nodes recorded in the version in force that are still in the host list; all
 *     nodes of the host list when there are none
 */
public record JointQuorum(Set<String> hostListNodes, Set<String> recordedNodes) {
    /** Returns the quorum for a host list and the nodes recorded in the version in force. */
    public static JointQuorum of(Set<String> hostListNodes, Collection<String> recordedNodes) {
        Set<String> remaining = new HashSet<>(recordedNodes);
        remaining.retainAll(hostListNodes);
        return new JointQuorum(
                Set.copyOf(hostListNodes), remaining.isEmpty() ? hostListNodes : remaining);
    }

    /** Returns whether no node is known, so that there is no majority. */
    public boolean isEmpty() {
        return hostListNodes.isEmpty();
    }

    /** Returns whether the names contain a majority of both sets. */
    public boolean isMajority(Set<String> names) {
        return majorityInstant(name -> names.contains(name) ? OptionalLong.of(0) : NEVER)
                .isPresent();
    }

    private static final OptionalLong NEVER = OptionalLong.empty();

    /**
     * Returns the latest instant that a majority of both sets has reached.
     *
     * @param instants latest instant of a node by name, empty when there is none
     */
    OptionalLong majorityInstant(Function<String, OptionalLong> instants) {
        OptionalLong first = majorityInstant(hostListNodes, instants);
        OptionalLong second = majorityInstant(recordedNodes, instants);
        return first.isPresent() && second.isPresent()
                ? OptionalLong.of(Math.min(first.getAsLong(), second.getAsLong()))
                : NEVER;
    }

    private static OptionalLong majorityInstant(
            Set<String> names, Function<String, OptionalLong> instants) {
        long[] reached =
                names.stream()
                        .map(instants)
                        .filter(OptionalLong::isPresent)
                        .mapToLong(OptionalLong::getAsLong)
                        .sorted()
                        .toArray();
        int majority = names.size() / 2 + 1;
        return reached.length < majority
                ? NEVER
                : OptionalLong.of(reached[reached.length - majority]);
    }
}
