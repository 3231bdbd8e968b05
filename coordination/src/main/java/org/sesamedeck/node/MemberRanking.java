package org.sesamedeck.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Rankings of the members that are alive. A ranking is kept until a member changes its status: at
 * 490 nodes with 128 groups, ranking on every tick would take more than a core. Confined to the
 * control thread.
 */
public final class MemberRanking {
    private final Membership mMembership;
    private final Map<String, List<String>> mRankings = new HashMap<>();

    private MemberRanking(Membership membership) {
        mMembership = membership;
        membership.addListener(member -> mRankings.clear());
    }

    /**
     * Returns the rankings of a membership. Must be created before other listeners are added to the
     * membership, so that those see rankings without the former status.
     */
    public static MemberRanking create(Membership membership) {
        return new MemberRanking(membership);
    }

    /** Returns the names of all live members in the order of their rank for the key. */
    public List<String> rank(String key) {
        return rank(key, member -> true);
    }

    /** Returns the names of the live members of this node's failure domain in rank order. */
    public List<String> rankInDomain(String key) {
        String domain = mMembership.self().failureDomain();
        return rank(key + "@" + domain, member -> member.failureDomain().equals(domain));
    }

    /** Returns the first ranked live member. */
    public Optional<Member> first(String key) {
        return rank(key).stream().findFirst().flatMap(mMembership::find);
    }

    /** Returns the first ranked live member of this node's failure domain. */
    public Optional<Member> firstInDomain(String key) {
        return rankInDomain(key).stream().findFirst().flatMap(mMembership::find);
    }

    private List<String> rank(String key, Predicate<Member> filter) {
        return mRankings.computeIfAbsent(
                key,
                unknown ->
                        RendezvousRanking.rank(
                                key,
                                mMembership.alive().stream()
                                        .filter(filter)
                                        .map(Member::name)
                                        .toList()));
    }
}
