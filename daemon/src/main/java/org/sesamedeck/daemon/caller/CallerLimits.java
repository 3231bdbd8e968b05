package org.sesamedeck.daemon.caller;

/**
 * Limits on what the callers of one port hold together.
 *
 * @param maxConnections connections that are open at the same time
 * @param maxTransfers requests that wait for their caller to send or to read, each of which may
 *     hold a thread
 * @param memoryBytes memory for bodies
 * @param smallMemoryBytes part of the memory that only small requests may take
 */
public record CallerLimits(
        int maxConnections, int maxTransfers, long memoryBytes, long smallMemoryBytes) {
    /** Part of the memory for bodies that is set aside for small requests. */
    private static final int SMALL_MEMORY_PART = 8;

    /** Small requests of the largest size for which the memory set aside suffices. */
    private static final int SMALL_REQUESTS = 8;

    /** Heap for a connection with the largest head, which is held decoded and undecoded. */
    private static final int CONNECTION_BYTES = 96 * 1_024;

    /** Descriptors for files, the admin port and other processes. */
    private static final int OTHER_DESCRIPTORS = 200;

    private static final int MIN_CONNECTIONS = 16;

    /** Returns limits with an eighth of the memory set aside for small requests. */
    public static CallerLimits of(int maxConnections, int maxTransfers, long memoryBytes) {
        return new CallerLimits(
                maxConnections, maxTransfers, memoryBytes, memoryBytes / SMALL_MEMORY_PART);
    }

    /** Returns the memory up to which a request is small, in bytes. */
    long maxSmallBytes() {
        return smallMemoryBytes / SMALL_REQUESTS;
    }

    /** Returns the memory that large requests may take together, in bytes. */
    long largeMemoryBytes() {
        return memoryBytes - smallMemoryBytes;
    }

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
