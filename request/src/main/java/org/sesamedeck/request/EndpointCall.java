package org.sesamedeck.request;

/** A call to one endpoint that the transport is performing. */
public interface EndpointCall {
    /**
     * Cancels the call so that the endpoint stops processing it; the listener is not called again.
     * Does nothing when the call has ended.
     *
     * @return whether no byte of the request was sent
     */
    boolean cancel();
}
