package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request of a caller.
 *
 * @param head method, path and headers as received
 * @param body body after transfer decoding
 * @param reservedBytes memory reserved for head and body, but for that of a large body
 */
record ReceivedRequest(HttpRequest head, RequestBody body, int reservedBytes) {}
