package org.sesamedeck.node;

/** Receives changes of the membership, on the control thread. */
@FunctionalInterface
public interface MembershipListener {
    /** Called after a member was added or its status changed. */
    void onChange(Member member);
}
