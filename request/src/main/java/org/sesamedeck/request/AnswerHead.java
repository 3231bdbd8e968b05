package org.sesamedeck.request;

import java.util.Optional;
import org.sesamedeck.routing.LoadReport;

/**
 * The head of an endpoint's answer.
 *
 * @param status HTTP status
 * @param notRun whether the endpoint states that it did not run the request and never will
 * @param wrongEndpoint whether another endpoint than the expected one answered
 * @param genuine whether the answer bears the signature that each endpoint puts on its answers
 * @param load load that the endpoint reported with the answer
 * @param transportHead head in the form of the transport that received it, for relaying
 */
public record AnswerHead(
        int status,
        boolean notRun,
        boolean wrongEndpoint,
        boolean genuine,
        Optional<LoadReport> load,
        Object transportHead) {
    /** Returns whether the status is a success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
