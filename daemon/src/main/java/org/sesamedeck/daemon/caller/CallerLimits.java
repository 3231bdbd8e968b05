package org.sesamedeck.daemon.caller;

/**
 * Limits on what the callers of one port hold together.
 *
 * @param maxConnections connections that are open at the same time
 * @param maxTransfers requests that wait for their caller to send or to read, each of which may
 *     hold a thread
 * @param memoryBytes memory for bodies
 */
public record CallerLimits(int maxConnections, int maxTransfers, long memoryBytes) {
    /** Heap for a connection with the largest head, which is held decoded and undecoded. */
    private static final int CONNECTION_BYTES = 96 * 1_024;

    /** Descriptors for files, the admin port and other processes. */
    private static final int OTHER_DESCRIPTORS = 200;

    private static final int MIN_CONNECTIONS = 16;

    /**
     * Returns the default number of connections: what the heap bears, but at most half of the
     * descriptors, because each open request takes a second one for its endpoint.
     */
    public static int defaultConnections(long heapBytes, int descriptors) {
        long byMemory = heapBytes / CONNECTION_BYTES;
        long byDescriptors = (descriptors - OTHER_DESCRIPTORS) / 2;
        return (int) Math.max(MIN_CONNECTIONS, Math.min(byMemory, byDescriptors));
    }
}
