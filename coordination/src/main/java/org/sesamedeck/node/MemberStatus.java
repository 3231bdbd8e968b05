package org.sesamedeck.node;

import org.sesamedeck.wire.generated.MemberState;

/** State of a member; of two reports with one incarnation, the later constant takes precedence. */
public enum MemberStatus {
    ALIVE(MemberState.MEMBER_ALIVE),
    SUSPECT(MemberState.MEMBER_SUSPECT),
    DEAD(MemberState.MEMBER_DEAD),
    LEFT(MemberState.MEMBER_LEFT);

    private final MemberState mMessage;

    MemberStatus(MemberState message) {
        mMessage = message;
    }

    MemberState toMessage() {
        return mMessage;
    }

    static MemberStatus fromMessage(MemberState message) {
        return switch (message) {
            case MEMBER_SUSPECT -> SUSPECT;
            case MEMBER_DEAD -> DEAD;
            case MEMBER_LEFT -> LEFT;
            default -> ALIVE;
        };
    }
}
