package org.sesamedeck.routing;

/** Processes that the load of a {@link LoadMessage} is summed over. */
public enum LoadScope {
    /** The sender. */
    PROCESS,
    /** The group for which the sender relays, including the sender. */
    GROUP,
    /** All processes but the recipient. */
    FLEET
}
