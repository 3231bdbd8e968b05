package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.sesamedeck.request.CallListener;

/** Passes call events to the request module with response heads decoded by the header codec. */
final class CallListenerAdapter implements HttpEndpointCall.Listener {
    private final HeaderCodec mHeaderCodec;
    private final String mRequestIdentifier;
    private final CallListener mListener;

    CallListenerAdapter(HeaderCodec headerCodec, String requestIdentifier, CallListener listener) {
        mHeaderCodec = headerCodec;
        mRequestIdentifier = requestIdentifier;
        mListener = listener;
    }

    @Override
    public boolean maySend() {
        return mListener.maySend();
    }

    @Override
    public void notSent(String cause) {
        mListener.notSent(cause);
    }

    @Override
    public void headReceived(HttpResponse head, long receivedAtNanos) {
        mListener.headReceived(
                mHeaderCodec.decodeResponseHead(head, mRequestIdentifier, receivedAtNanos));
    }

    @Override
    public void body(byte[] bytes) {
        mListener.body(bytes);
    }

    @Override
    public void ended() {
        mListener.ended();
    }

    @Override
    public void broken(String cause) {
        mListener.broken(cause);
    }

    @Override
    public void connectionLost(String cause) {
        mListener.connectionLost(cause);
    }
}
