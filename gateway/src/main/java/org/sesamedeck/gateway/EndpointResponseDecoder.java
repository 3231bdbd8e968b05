package org.sesamedeck.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/** Decodes responses and detects excess bytes after the end of a response. */
final class EndpointResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 65_536;

    /**
     * Limit on the bytes that precede a part of a response without being one, such as empty lines,
     * which the HTTP decoder skips without limit.
     */
    private static final int MAX_BYTES_WITHOUT_PART = 4 * MAX_HEAD_BYTES;

    private boolean mIsHeadRequest;
    private int mBytesWithoutPart;

    EndpointResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Prepares for the response to the next request; a response to HEAD has no body. */
    void expectResponse(boolean isHeadRequest) {
        mIsHeadRequest = isHeadRequest;
        mBytesWithoutPart = 0;
    }

    /** Returns whether undecoded bytes remain after the last response. */
    boolean hasExcessBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        int partsBefore = out.size();
        int bytesBefore = buffer.readableBytes();
        super.decode(context, buffer, out);
        if (out.size() > partsBefore) {
            mBytesWithoutPart = 0;
            return;
        }
        mBytesWithoutPart += bytesBefore - buffer.readableBytes();
        if (mBytesWithoutPart > MAX_BYTES_WITHOUT_PART) {
            throw new TooLongFrameException(
                    "more than " + MAX_BYTES_WITHOUT_PART + " bytes without a response");
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mIsHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
