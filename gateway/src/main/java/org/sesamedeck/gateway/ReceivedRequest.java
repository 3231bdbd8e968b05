package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request of a caller.
 *
 * @param head method, path and headers as received
 * @param body body after transfer decoding
 */
record ReceivedRequest(HttpRequest head, byte[] body) {}
