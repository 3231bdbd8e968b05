package org.sesamedeck.request;

import org.sesamedeck.routing.EndpointSigns;

/**
 * The status and headers of an endpoint's response.
 *
 * @param status HTTP status
 * @param notRun whether the endpoint states that it did not run the request and never will
 * @param wrongEndpoint whether another endpoint than the expected one responded
 * @param signed whether the response carries the signature that each endpoint puts on its responses
 * @param endsWithConnection whether only the end of the connection shows the end of the body, so
 *     that the end of the endpoint looks the same
 * @param signs what the endpoint states about itself
 * @param transportHead head in the transport's own representation, for relaying
 */
public record ResponseHead(
        int status,
        boolean notRun,
        boolean wrongEndpoint,
        boolean signed,
        boolean endsWithConnection,
        EndpointSigns signs,
        Object transportHead) {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Returns whether the endpoint rejected the request because it has no room now. */
    boolean isRejectedForLoad() {
        return notRun && (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS);
    }

    /** Returns whether the status is a success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
