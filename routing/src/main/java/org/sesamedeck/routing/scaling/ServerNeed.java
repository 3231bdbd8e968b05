package org.sesamedeck.routing.scaling;

/**
 * Number of servers that a service needs for its callers' targets.
 *
 * @param prefill servers for prompts
 * @param decode servers for responses
 * @param isLoadKnown whether the load has been measured for long enough to give servers back
 * @param isIdle whether no load has been measured yet, so that nothing depends on the servers
 */
public record ServerNeed(int prefill, int decode, boolean isLoadKnown, boolean isIdle) {
    /** Returns the number of servers of both phases. */
    public int total() {
        return prefill + decode;
    }
}
