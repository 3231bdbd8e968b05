package org.sesamedeck.gateway;

/** A part of the process that holds memory for one caller, as {@link CallerMemory} sees it. */
interface MemoryHolder {
    /**
     * Returns how much ending this holder would relieve the others: the bytes held, multiplied by
     * the time for which the caller has made no progress; 0 if the holder must not be ended, for
     * example because an endpoint is working on its request.
     */
    double reclaimWeight(long nowNanos);

    /** Ends the holder visibly to its caller and releases what it has reserved. */
    void reclaim();

    /** Returns whether a large body that was admitted arrives too slowly while others wait. */
    boolean isSlow(long nowNanos);

    /** Called when the large body that was waiting has been admitted. */
    void admitted();
}
