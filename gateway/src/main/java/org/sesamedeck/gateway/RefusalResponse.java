package org.sesamedeck.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Responses to input that is refused before it has become a request. */
final class RefusalResponse {
    /** Retry-after delay of a caller who was refused because memory is short, in seconds. */
    private static final String RETRY_AFTER = "1.00";

    private RefusalResponse() {}

    /** Returns the response, after which the connection is closed. */
    static FullHttpResponse of(int status, String message) {
        byte[] body = message.getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, "close");
        if (status == RequestReader.STATUS_UNAVAILABLE) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER);
        }
        return response;
    }
}
