package org.sesamedeck.routing;

import java.time.Duration;

/**
 * Settings of admission control. The first three limits are widened while the fleet's demand is
 * below 1.1 times the capacity of the endpoints. A process without requests in progress may always
 * admit one.
 *
 * @param promptWindow engine time of the prompts in progress for each prefill endpoint, summed over
 *     all entry processes; a larger window keeps engines busy, a smaller one leaves more of the
 *     ordering to the queue
 * @param streamsPerEndpoint maximum number of requests in progress for each decode endpoint, over
 *     all entry processes
 * @param maxExpectedWait no request is admitted while the mean expected wait at the endpoints is
 *     longer
 * @param maxWaiting maximum number of requests of this process in the queue of a pool
 */
public record AdmissionSettings(
        Duration promptWindow, int streamsPerEndpoint, Duration maxExpectedWait, int maxWaiting) {
    /** Returns the defaults. */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(Duration.ofMillis(200), 96, Duration.ofMillis(300), 10_000);
    }
}
