package org.sesamedeck.request;

/** Receives the events of a call to an endpoint, on the thread that made the call. */
public interface CallListener {
    /**
     * Returns whether the request may still be sent; asked when the connection is established. The
     * call ends as not sent otherwise.
     */
    default boolean maySend() {
        return true;
    }

    /** No byte of the request was sent, so it cannot have run. Last event of the call. */
    void notSent(String cause);

    /** The head of the response has arrived. */
    void headReceived(ResponseHead head);

    /** Bytes of the response body have arrived. */
    void body(byte[] bytes);

    /** The response is complete. Last event of the call. */
    void ended();

    /**
     * The call failed after bytes were sent, so the request may have run. Last event of the call.
     */
    void broken(String cause);

    /**
     * The connection was closed or reset from the other side after bytes were sent, and the
     * response is incomplete; the request may have run. Last event of the call.
     */
    void connectionLost(String cause);
}
