package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpResponse;

/** For calls whose success changes nothing for the caller of the call. */
final class IgnoredAnswer implements HttpEndpointCall.Listener {
    @Override
    public void notSent(String cause) {}

    @Override
    public void answered(HttpResponse head, long receivedAtNanos) {}

    @Override
    public void body(byte[] bytes) {}

    @Override
    public void ended() {}

    @Override
    public void broken(String cause) {}
}
