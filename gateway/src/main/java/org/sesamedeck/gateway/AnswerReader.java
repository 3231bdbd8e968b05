package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.sesamedeck.request.CallListener;

/** Translates the heads of answers for the request core. */
final class AnswerReader implements HttpEndpointCall.Listener {
    private final CallerFormat mFormat;
    private final String mRequestIdentifier;
    private final CallListener mListener;

    AnswerReader(CallerFormat format, String requestIdentifier, CallListener listener) {
        mFormat = format;
        mRequestIdentifier = requestIdentifier;
        mListener = listener;
    }

    @Override
    public void notSent(String cause) {
        mListener.notSent(cause);
    }

    @Override
    public void answered(HttpResponse head, long receivedAtNanos) {
        mListener.answered(mFormat.decodeAnswer(head, mRequestIdentifier, receivedAtNanos));
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
}
