package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpResponse;

/** Ignores all events of a call whose result is not needed. */
final class IgnoredResponseListener implements HttpEndpointCall.Listener {
    @Override
    public void notSent(String cause) {}

    @Override
    public void headReceived(HttpResponse head, long receivedAtNanos) {}

    @Override
    public void body(byte[] bytes) {}

    @Override
    public void ended() {}

    @Override
    public void broken(String cause) {}

    @Override
    public void connectionLost(String cause) {}
}
