package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes responses and detects excess bytes after the end of a response. */
final class EndpointResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 65_536;

    private boolean mIsHeadRequest;

    EndpointResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Prepares for the response to the next request; a response to HEAD has no body. */
    void expectResponse(boolean isHeadRequest) {
        mIsHeadRequest = isHeadRequest;
    }

    /** Returns whether undecoded bytes remain after the last response. */
    boolean hasExcessBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mIsHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
