package org.sesamedeck.gateway;

/**
 * Limits on what the process holds for all callers together.
 *
 * @param memoryBytes memory for connections, requests and responses that callers have not read
 * @param connections open connections of callers
 */
public record CallerLimits(long memoryBytes, int connections) {
    /** Descriptors that the platform keeps for files. */
    private static final int RESERVED_DESCRIPTORS = 200;

    /** A request in progress takes a second descriptor, and an idle endpoint connection a third. */
    private static final int DESCRIPTORS_PER_CALLER = 3;

    /** The rest of the heap holds the process's own state and short-lived objects. */
    private static final double HEAP_FRACTION = 0.3;

    private static final int MIN_CONNECTIONS = 16;

    /** Responses that are being received may take this part of the heap at most. */
    private static final int RESPONSE_HEAP_FRACTION = 4;

    /**
     * Returns the limits for a process.
     *
     * @param memoryBytes configured memory; 0 to derive it from the heap
     * @param heapBytes maximum heap size
     * @param responseBytes part of the heap for responses that are being received
     * @param descriptors maximum number of open descriptors
     */
    public static CallerLimits of(
            long memoryBytes, long heapBytes, long responseBytes, int descriptors) {
        long derived = Math.round((heapBytes - responseBytes) * HEAP_FRACTION);
        long memory = memoryBytes > 0 ? memoryBytes : Math.max(1 << 20, derived);
        long byDescriptors = (descriptors - RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CALLER;
        long byMemory = memory / 2 / ConnectionMemory.BASE_BYTES;
        long connections = Math.max(MIN_CONNECTIONS, Math.min(byDescriptors, byMemory));
        return new CallerLimits(memory, (int) connections);
    }

    /**
     * Returns the memory for responses that are being received: as configured, if the heap permits.
     */
    static long responseMemory(long configuredBytes, long heapBytes) {
        return Math.min(configuredBytes, heapBytes / RESPONSE_HEAP_FRACTION);
    }

    /** Returns limits that suit a process with default settings. */
    static CallerLimits defaults() {
        return new CallerLimits(32L << 20, 1_024);
    }
}
