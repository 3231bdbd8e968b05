package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.sesamedeck.request.AnswerHead;
import org.sesamedeck.request.CallOptions;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.ProcessedPrompt;
import org.sesamedeck.routing.EndpointDescription;

/** What callers and endpoints say in their headers, translated from and to the product's terms. */
public interface CallerFormat {
    /**
     * Reads the head of a caller's request.
     *
     * @throws org.sesamedeck.core.SesamedeckException BAD_REQUEST with what is missing or
     *     unreadable
     */
    CallerRequest decodeRequest(HttpRequest head);

    /** Returns the headers with which the caller's request goes to an endpoint. */
    HttpHeaders endpointHeaders(
            HttpRequest head, EndpointDescription endpoint, CallOptions options);

    /** Returns whether an answer that names its request names another one than this. */
    boolean belongsToOther(HttpResponse answer, String requestIdentifier);

    /**
     * Reads the head of an endpoint's answer.
     *
     * @param receivedAtNanos monotonic time of its arrival, in nanoseconds
     */
    AnswerHead decodeAnswer(HttpResponse answer, String requestIdentifier, long receivedAtNanos);

    /** Returns the headers with which an endpoint's answer goes to the caller. */
    HttpHeaders callerHeaders(HttpResponse answer);

    /** Reads the name of a processed prompt from the answer that tells it. */
    Optional<String> decodeProcessedPrompt(byte[] body);

    /** Returns the path of the DELETE call that gives up a processed prompt. */
    String releasePath(ProcessedPrompt prompt);
}
