package org.sesamedeck.routing;

/**
 * Load of one endpoint from the requests of one or several processes.
 *
 * @param endpoint name of the endpoint
 * @param waitingNanos engine time of prompts without a first token yet, in nanoseconds
 * @param running requests in progress
 * @param tokens prompt and expected output tokens of the requests in progress
 * @param suspecting processes that suspect the endpoint of losing requests
 */
public record EndpointLoad(
        String endpoint, long waitingNanos, int running, long tokens, int suspecting) {
    /** Creates the load of an endpoint that is not suspected. */
    public EndpointLoad(String endpoint, long waitingNanos, int running, long tokens) {
        this(endpoint, waitingNanos, running, tokens, 0);
    }

    /** Creates a load whose requests have no tokens. */
    public EndpointLoad(String endpoint, long waitingNanos, int running) {
        this(endpoint, waitingNanos, running, 0);
    }

    /** Returns the sum of two loads of the same endpoint. */
    public EndpointLoad plus(EndpointLoad other) {
        return new EndpointLoad(
                endpoint,
                waitingNanos + other.waitingNanos,
                running + other.running,
                tokens + other.tokens,
                suspecting + other.suspecting);
    }
}
