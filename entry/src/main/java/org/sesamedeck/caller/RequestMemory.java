package org.sesamedeck.caller;

import jakarta.servlet.http.HttpServletRequest;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.daemon.caller.CallerConnection;

/**
 * Memory that one request has reserved from what its caller port may hold; released when the
 * request closes. Used by the thread that serves the request.
 */
final class RequestMemory {
    private final CallerConnection mConnection;
    private long mReservedBytes;

    private RequestMemory(CallerConnection connection) {
        mConnection = connection;
    }

    /** Returns the memory of a request, which is released together with it. */
    static RequestMemory of(HttpServletRequest request, OpenRequest openRequest) {
        RequestMemory memory =
                new RequestMemory(
                        (CallerConnection) request.getAttribute(CallerConnection.ATTRIBUTE));
        openRequest.onClose(() -> memory.release(memory.mReservedBytes));
        return memory;
    }

    /** Announces how many bytes the request will reserve at least. */
    void expect(long bytes) {
        mConnection.expect(bytes);
    }

    /**
     * Reserves bytes.
     *
     * @throws CallerException with OVERLOADED when they would exceed the limit
     */
    void reserve(long bytes) {
        if (!mConnection.reserve(bytes)) {
            throw CallerException.of(
                    ResultCode.OVERLOADED, "request bodies take all the memory set aside for them");
        }
        mReservedBytes += bytes;
    }

    void release(long bytes) {
        mConnection.release(bytes);
        mReservedBytes -= bytes;
    }
}
