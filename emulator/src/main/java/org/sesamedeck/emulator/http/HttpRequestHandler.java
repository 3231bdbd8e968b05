package org.sesamedeck.emulator.http;

/** Handles the requests to one emulator. All calls are made on the event loop of the server. */
public interface HttpRequestHandler {
    /** Handles a request; the response may be sent later through the exchange. */
    void handle(Exchange exchange);
}
