package org.sesamedeck.routing;

/**
 * Work at one endpoint, of one process or of several together.
 *
 * @param endpoint name of the endpoint
 * @param waitingNanos engine time of prompts that have not begun to be answered, in nanoseconds
 * @param running requests in progress
 */
public record EndpointLoad(String endpoint, long waitingNanos, int running) {
    /** Returns the sum of two loads of the same endpoint. */
    public EndpointLoad plus(EndpointLoad other) {
        return new EndpointLoad(
                endpoint, waitingNanos + other.waitingNanos, running + other.running);
    }
}
