package org.sesamedeck.routing.locality;

/**
 * Additional cost of a request between two hosts, compared with one inside a failure domain.
 *
 * @param delayNanos additional delay of a request and its response, in nanoseconds
 * @param nanosPerKilobyte cost of the bytes in both directions; an operator states the price of
 *     traffic as the wait that is worth a kilobyte, in nanoseconds
 * @param transferNanosPerToken additional time to transfer the KV cache of a prompt token, in
 *     nanoseconds
 */
public record LinkCost(double delayNanos, double nanosPerKilobyte, double transferNanosPerToken) {
    /** Cost inside a failure domain. */
    public static final LinkCost NONE = new LinkCost(0, 0, 0);

    /**
     * Returns the cost of a request with that many kilobytes in both directions, in nanoseconds.
     */
    public double requestNanos(double kilobytes) {
        return delayNanos + kilobytes * nanosPerKilobyte;
    }
}
