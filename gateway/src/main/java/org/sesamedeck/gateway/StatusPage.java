package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Status, media type and text of a response of the status server. */
record StatusPage(HttpResponseStatus status, String mediaType, String text) {
    /** Returns a page of plain text. */
    static StatusPage text(HttpResponseStatus status, String text) {
        return new StatusPage(status, "text/plain; charset=utf-8", text);
    }
}
