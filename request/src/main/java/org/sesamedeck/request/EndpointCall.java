package org.sesamedeck.request;

/** A request that was handed to the transport for one endpoint. */
public interface EndpointCall {
    /**
     * Ends the call so that the endpoint stops working on it; the listener hears nothing more. Does
     * nothing when the call has ended.
     *
     * @return whether no byte of the request has left
     */
    boolean cancel();
}
