package org.sesamedeck.routing;

/** The capacity of the endpoints behind a target, as admission sees it. Thread-safe. */
public interface CapacityView {
    /**
     * Returns the name of the endpoints' service. Targets of one service compete for the same
     * engine time. Returns the target itself when no endpoint is known.
     */
    String poolOf(String target);

    /** Returns the number of usable endpoints of the pool. */
    int usableEndpoints(String pool);

    /** Returns the number of usable endpoints of the pool that process prompts. */
    int prefillEndpoints(String pool);

    /** Returns the number of usable endpoints of the pool that generate responses. */
    int decodeEndpoints(String pool);

    /** Returns the mean expected wait of a prompt, in nanoseconds. */
    long expectedWaitNanos(String pool);
}
