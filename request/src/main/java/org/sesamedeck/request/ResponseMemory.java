package org.sesamedeck.request;

/**
 * Memory for the responses that are being received and cannot be passed on before they are
 * complete. It is shared by all requests, because an endpoint may send bytes without end, and
 * several may do so at once. Confined to one thread.
 */
final class ResponseMemory {
    /** One response may take at most this fraction, so that it does not exclude all others. */
    private static final int MAX_SHARE = 4;

    private final long mLimitBytes;
    private long mUsedBytes;

    private ResponseMemory(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /** Returns memory of the given size in bytes. */
    static ResponseMemory of(long limitBytes) {
        return new ResponseMemory(limitBytes);
    }

    /**
     * Reserves memory for more of a response.
     *
     * @param reserved bytes that are reserved for the response already
     * @return false if the response is too large or the memory is used up; nothing is reserved then
     */
    boolean tryReserve(int reserved, int bytes) {
        boolean isTooLarge = (reserved + (long) bytes) * MAX_SHARE > mLimitBytes;
        if (isTooLarge || mUsedBytes + bytes > mLimitBytes) {
            return false;
        }
        mUsedBytes += bytes;
        return true;
    }

    /** Releases the reserved memory of a response. */
    void release(int bytes) {
        mUsedBytes -= bytes;
    }
}
