package org.sesamedeck.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Membership updates to piggyback on probes and replies, the least often sent first. */
final class UpdateQueue {
    static final int MAX_UPDATES = 20;
    // SWIM's lambda: each update is sent about lambda * log2(members) times, then dropped.
    private static final int TRANSMISSION_FACTOR = 3;

    private final Map<String, Pending> mPending = new HashMap<>();

    private static final class Pending {
        private final Member mMember;
        private int mSent;

        private Pending(Member member) {
            mMember = member;
        }
    }

    void add(Member member) {
        mPending.put(member.name(), new Pending(member));
    }

    /** Returns the next updates to send in a deployment with the given number of members. */
    List<Member> take(int memberCount) {
        int limit = TRANSMISSION_FACTOR * (33 - Integer.numberOfLeadingZeros(memberCount));
        List<Pending> ordered = new ArrayList<>(mPending.values());
        ordered.sort(
                Comparator.comparingInt((Pending pending) -> pending.mSent)
                        .thenComparing(pending -> pending.mMember.name()));
        List<Member> taken = new ArrayList<>();
        for (Pending pending : ordered.subList(0, Math.min(MAX_UPDATES, ordered.size()))) {
            taken.add(pending.mMember);
            pending.mSent++;
            if (pending.mSent >= limit) {
                mPending.remove(pending.mMember.name());
            }
        }
        return taken;
    }
}
