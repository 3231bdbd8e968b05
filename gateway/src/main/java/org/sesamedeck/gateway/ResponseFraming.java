package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a response body is recognized. */
public final class ResponseFraming {
    private ResponseFraming() {}

    /** Returns whether the body has neither a length nor chunks and ends with its connection. */
    public static boolean endsWithConnection(HttpResponse head) {
        return !HttpUtil.isTransferEncodingChunked(head)
                && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && head.status().code() != 204
                && head.status().code() != 304;
    }
}
