package org.sesamedeck.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class JointQuorumTest {
    private static Set<String> names(int from, int to) {
        Set<String> names = new HashSet<>();
        for (int i = from; i < to; i++) {
            names.add("node-" + i);
        }
        return names;
    }

    /**
     * Guards against an accepted version that a majority of the old host list does not know:
     * whatever was added to the host list on the accepting side, the nodes that did not acknowledge
     * are no majority of the old list.
     */
    @Property(seed = "17", tries = 2000)
    void nodesThatDidNotAcknowledgeAreNoMajorityOfTheOldList(
            @ForAll @IntRange(min = 1, max = 9) int recorded,
            @ForAll @IntRange(max = 9) int added,
            @ForAll @Size(min = 5, max = 18) Set<@IntRange(max = 18) Integer> acknowledged) {
        Set<String> oldList = names(0, recorded);
        Set<String> newList = names(0, recorded + added);
        Set<String> acknowledgedNames = new HashSet<>();
        acknowledged.forEach(number -> acknowledgedNames.add("node-" + number));
        Set<String> others = new HashSet<>(oldList);
        others.removeAll(acknowledgedNames);
        boolean isAccepted = JointQuorum.of(newList, oldList).isMajority(acknowledgedNames);
        boolean isConfirmed = JointQuorum.of(oldList, oldList).isMajority(others);
        assertThat(isAccepted && isConfirmed, is(false));
    }

    /** Shows that the host list alone is not enough: the added nodes are a majority of it. */
    @Test
    void nodesAddedOnOneSideAreNoMajorityOfTheRecordedNodes() {
        Set<String> acknowledged = names(5, 16);
        assertThat(JointQuorum.of(names(0, 16), Set.of()).isMajority(acknowledged), is(true));
        assertThat(JointQuorum.of(names(0, 16), names(0, 8)).isMajority(acknowledged), is(false));
    }

    /** Guards against a removed node that blocks acceptance for ever. */
    @Test
    void removedNodesCountInNeitherSet() {
        JointQuorum quorum = JointQuorum.of(Set.of("a", "b", "c"), Set.of("a", "b", "x", "y", "z"));
        assertThat(quorum.isMajority(Set.of("a", "b")), is(true));
        assertThat(quorum.isMajority(Set.of("a", "c")), is(false));
    }
}
