package org.sesamedeck.routing;

/**
 * Expected wait for one of several slots. A request does not wait while a slot is free; since
 * requests of other processes arrive meanwhile, the approximation of the mean wait in an M/M/c
 * queue by Sakasegawa (1977) is added, which is small until most slots are busy.
 */
final class SlotWait {
    /** The approximation has no bound as all slots become busy. */
    private static final double MAX_BUSY_PART = 0.8;

    private SlotWait() {}

    /**
     * Returns the expected wait, in nanoseconds.
     *
     * @param requests requests at the endpoint, running or queued
     * @param slots number of slots, at least 1
     * @param serviceNanos time for which a request takes a slot
     */
    static double nanos(double requests, double slots, double serviceNanos) {
        double busyPart = Math.min(MAX_BUSY_PART, requests / slots);
        double chance = Math.pow(busyPart, Math.sqrt(2 * (slots + 1)) - 1) / (1 - busyPart);
        double ahead = Math.max(0, requests + 1 - slots);
        return (ahead + chance) / slots * serviceNanos;
    }
}
