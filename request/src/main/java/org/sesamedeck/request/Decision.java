package org.sesamedeck.request;

/**
 * Events of the decision log, as documented in docs/OPERATIONS.md. The first group belongs to one
 * request, the second to the process's local view of configuration and endpoints and to its
 * commands to engines, the third to the process itself.
 */
public enum Decision {
    ADMITTED,
    WAITING,
    SENT,
    NOT_SENT,
    REJECTED,
    FAILURE_ANSWERED,
    BROKEN,
    RETRIED,
    RESUMED,
    PROMPT_PROCESSED,
    FIRST_EVENT,
    ANSWERED,
    REFUSED,
    FAILED,
    BROKEN_OFF,
    CALLER_LEFT,

    CONFIGURATION_TAKEN,
    ENDPOINT_JOINED,
    ENDPOINT_CHANGED,
    ENDPOINT_LEAVING,
    ENDPOINT_EXCLUDED,
    ENDPOINT_IN_DOUBT,
    ENDPOINT_GONE,
    ENTRY_UNREADABLE,
    WATCH_REPLACED,
    PART_QUARANTINED,
    PART_RENEWED,
    PART_TESTED,
    PART_RELEASED,
    ROLE_WISHED,
    ORDER_SENT,
    ORDER_ANSWERED,
    ORDER_IN_DOUBT,
    ORDER_LEFT_TO_OTHER,
    OUTFLOW_BEGAN,
    OUTFLOW_CHANGED,
    OUTFLOW_ENDED,
    SERVERS_PLANNED,
    SERVERS_ORDERED,
    SERVERS_IN_DOUBT,
    DUTY_TAKEN,
    DUTY_LOST,
    DUTY_IN_DOUBT,
    USAGE_REPORTED,
    USAGE_NOT_REPORTED,

    DEPENDENCY_LOST,
    DEPENDENCY_REGAINED,
    STARTED,
    READY,
    RELOADED,
    STOPPING,
    STOPPED,
    CALLERS_LIMITED,
    LINES_DROPPED,
    LIBRARY_MESSAGE,
    UNEXPECTED_ERROR;

    /** Returns whether the event belongs to a request. */
    public boolean concernsRequest() {
        return ordinal() <= CALLER_LEFT.ordinal();
    }
}
