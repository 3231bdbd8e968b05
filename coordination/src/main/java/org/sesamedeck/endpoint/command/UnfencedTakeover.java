package org.sesamedeck.endpoint.command;

/** When a new holder may send a different command to an engine that ignores fencing numbers. */
public enum UnfencedTakeover {
    /**
     * After a delay, which relies on engines closing command connections in time (value {@code
     * connection-limit} of the setting {@code unfenced-takeover}).
     */
    CONNECTION_LIMIT,
    /**
     * Only after the former holder released the lease or its host was removed from the host list
     * (value {@code release-only}).
     */
    RELEASE_ONLY
}
