package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A whole request of a caller.
 *
 * @param head method, path and headers as they were received
 * @param body body without transfer coding
 */
record ReceivedRequest(HttpRequest head, byte[] body) {}
