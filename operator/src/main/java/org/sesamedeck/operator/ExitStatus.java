package org.sesamedeck.operator;

import org.sesamedeck.core.ResultCode;

/** Exit statuses of the operator command, documented in docs/operators.md. */
public enum ExitStatus {
    OK(0),
    FAILED(1),
    USAGE(2),
    INVALID_LISTS(3),
    VERSION_CONFLICT(4),
    PLATFORM_UNAVAILABLE(5),
    OUTCOME_UNKNOWN(6),
    NOT_YET_ACCEPTED(7);

    private final int mNumber;

    ExitStatus(int number) {
        mNumber = number;
    }

    /** Returns the exit status as the shell receives it. */
    public int number() {
        return mNumber;
    }

    /** Returns the exit status of a command that fails with the given code. */
    public static ExitStatus of(ResultCode code) {
        return switch (code) {
            case INVALID_CONFIGURATION, INVALID_SETTINGS -> INVALID_LISTS;
            case VERSION_CONFLICT -> VERSION_CONFLICT;
            case STORE_UNAVAILABLE, STORE_RATE_LIMITED, UNAVAILABLE -> PLATFORM_UNAVAILABLE;
            case STORE_OUTCOME_UNKNOWN, PEER_TIMEOUT -> OUTCOME_UNKNOWN;
            default -> FAILED;
        };
    }
}
