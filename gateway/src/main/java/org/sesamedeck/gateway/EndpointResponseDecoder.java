package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers and tells whether bytes are left behind the last one. */
final class EndpointResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 65_536;

    private boolean mIsHeadRequest;

    EndpointResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Prepares for the answer to the next request; the answer to HEAD has no body. */
    void expect(boolean isHeadRequest) {
        mIsHeadRequest = isHeadRequest;
    }

    /** Returns whether bytes were received that belong to no answer so far. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mIsHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
