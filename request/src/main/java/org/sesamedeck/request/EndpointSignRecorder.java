package org.sesamedeck.request;

import java.time.Duration;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointExclusion;

/**
 * Passes what endpoints state about themselves in the responses to one request to the router, and
 * logs which of them is excluded for it.
 */
final class EndpointSignRecorder {
    private final RequestHandler mHandler;
    private final String mRequestIdentifier;

    EndpointSignRecorder(RequestHandler handler, String requestIdentifier) {
        mHandler = handler;
        mRequestIdentifier = requestIdentifier;
    }

    void received(EndpointDescription endpoint, ResponseHead head) {
        mHandler.router()
                .applySigns(endpoint, head.signs())
                .ifPresent(exclusion -> log(endpoint, head.status(), exclusion));
    }

    private void log(EndpointDescription endpoint, int status, EndpointExclusion exclusion) {
        LogEntry entry =
                LogEntry.of(Decision.ENDPOINT_EXCLUDED, mHandler.clock().nanoTime())
                        .with("endpoint", endpoint.name())
                        .with("service", endpoint.service())
                        .with("cause", exclusion.cause())
                        .with("request", mRequestIdentifier)
                        .with("status", status);
        exclusion.time().map(Duration::toMillis).ifPresent(time -> entry.with("forMillis", time));
        mHandler.record(entry);
    }
}
