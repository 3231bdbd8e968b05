package org.sesamedeck.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {
    private static Simulation settled(long seed, int count) {
        Simulation simulation = new Simulation(seed);
        simulation.start(count);
        simulation.run(Duration.ofSeconds(10));
        return simulation;
    }

    private static Optional<MemberStatus> seenBy(SimulatedNode observer, int index) {
        return observer.node().membership().find(Simulation.nameOf(index)).map(Member::status);
    }

    /** Guards against a node that never discovers the others while the host list is unavailable. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 24, 64})
    void nodesDiscoverEachOtherThroughSeedsAlone(int count) {
        Simulation simulation = new Simulation(count);
        simulation.platform().setDown(true);
        simulation.start(count);
        simulation.run(Duration.ofSeconds(20));
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(node.name(), node.node().membership().alive().size(), is(count));
        }
    }

    /** Guards against a dead node remaining a candidate for leases. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 64})
    void deadNodeIsDetectedByAllMembers(int count) {
        Simulation simulation = settled(20 + count, count);
        simulation.node(2).stop();
        simulation.run(Duration.ofSeconds(12));
        for (SimulatedNode node : simulation.nodes()) {
            if (node.index() != 2) {
                assertThat(node.name(), seenBy(node, 2), is(Optional.of(MemberStatus.DEAD)));
            }
        }
    }

    /** Guards against live nodes being declared dead because of message loss alone. */
    @Test
    void lostMessagesAloneMakeNoNodeDead() {
        Simulation simulation = settled(1, 16);
        simulation.setLoss(0.1);
        for (int i = 0; i < 60; i++) {
            simulation.run(Duration.ofSeconds(1));
            for (SimulatedNode node : simulation.nodes()) {
                for (int other = 0; other < 16; other++) {
                    assertThat(
                            seenBy(node, other).filter(status -> status == MemberStatus.DEAD),
                            is(Optional.empty()));
                }
            }
        }
    }

    /** Guards against a paused node declaring all other nodes dead when it resumes. */
    @Test
    void resumedNodeRefutesItsDeathAndSuspectsNoOther() {
        Simulation simulation = settled(2, 8);
        simulation.node(3).pause();
        simulation.run(Duration.ofSeconds(30));
        assertThat(seenBy(simulation.node(0), 3), is(Optional.of(MemberStatus.DEAD)));
        simulation.node(3).resume();
        for (int i = 0; i < 100; i++) {
            simulation.run(Duration.ofMillis(100));
            assertThat(simulation.node(3).node().membership().present().size(), is(8));
        }
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(node.name(), seenBy(node, 3), is(Optional.of(MemberStatus.ALIVE)));
        }
    }

    /** Guards against two sides of a partition not merging after it has healed. */
    @Test
    void membersRejoinAfterAPartitionHeals() {
        Simulation simulation = settled(3, 12);
        simulation.isolate(Set.of(0, 1, 2, 3, 4), true);
        simulation.run(Duration.ofMinutes(2));
        assertThat(simulation.node(0).node().membership().present().size(), is(5));
        assertThat(simulation.node(8).node().membership().present().size(), is(7));
        simulation.heal();
        simulation.run(Duration.ofSeconds(20));
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(node.name(), node.node().membership().alive().size(), is(12));
        }
    }

    /** Guards against a failed link between two nodes making either look dead to the others. */
    @Test
    void indirectProbesKeepMembersAliveWhenOneLinkIsCut() {
        Simulation simulation = settled(4, 8);
        simulation.cutBoth(Simulation.nameOf(2), Simulation.nameOf(5));
        simulation.cut(Simulation.nameOf(6), Simulation.nameOf(1));
        for (int i = 0; i < 60; i++) {
            simulation.run(Duration.ofSeconds(1));
            for (SimulatedNode node : simulation.nodes()) {
                assertThat(node.name(), node.node().membership().present().size(), is(8));
            }
        }
    }

    /** Guards against a leaving node that stays a member until it is suspected and dead. */
    @Test
    void leavingNodeIsRemovedAtOnceAndCanRejoin() {
        Simulation simulation = settled(5, 8);
        simulation.node(3).node().membership().leave();
        simulation.run(Duration.ofSeconds(2));
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(node.name(), seenBy(node, 3), is(Optional.of(MemberStatus.LEFT)));
        }
        simulation.restart(3);
        simulation.run(Duration.ofSeconds(10));
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(node.name(), seenBy(node, 3), is(Optional.of(MemberStatus.ALIVE)));
        }
    }

    /** Guards against the former incarnation of a restarted node overriding the new one. */
    @Test
    void restartedNodeIsAcceptedAfterItsDeath() {
        Simulation simulation = settled(6, 8);
        simulation.node(4).stop();
        simulation.run(Duration.ofSeconds(20));
        simulation.restart(4);
        simulation.run(Duration.ofSeconds(10));
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(node.name(), node.node().membership().alive().size(), is(8));
        }
    }

    /** Guards against the loss of a member changing the rank of the others. */
    @Test
    void removingAMemberMovesOnlyTheKeysItRankedFirstFor() {
        List<String> members = List.of("a", "b", "c", "d", "e");
        for (int i = 0; i < 200; i++) {
            String key = "claims/" + i;
            String first = RendezvousRanking.first(key, members).orElseThrow();
            List<String> others = members.stream().filter(member -> !member.equals("e")).toList();
            String next = RendezvousRanking.first(key, others).orElseThrow();
            assertThat(key, next, is(first.equals("e") ? next : first));
        }
    }
}
