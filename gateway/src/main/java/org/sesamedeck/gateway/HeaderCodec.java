package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.sesamedeck.request.CallOptions;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.ProcessedPrompt;
import org.sesamedeck.request.ResponseHead;
import org.sesamedeck.routing.EndpointDescription;

/** Translates the headers of callers and endpoints to and from the types of the request module. */
public interface HeaderCodec {
    /**
     * Decodes the head of a caller's request.
     *
     * @throws org.sesamedeck.core.SesamedeckException BAD_REQUEST with the header that is missing
     *     or malformed
     */
    CallerRequest decodeRequest(HttpRequest head);

    /** Returns the headers of the request that is forwarded to an endpoint. */
    HttpHeaders endpointHeaders(
            HttpRequest head, EndpointDescription endpoint, CallOptions options);

    /** Returns whether a response carries the identifier of a request other than the given one. */
    boolean belongsToOtherRequest(HttpResponse response, String requestIdentifier);

    /** Returns whether the response carries the identifier of the request. */
    boolean namesRequest(HttpResponse response, String requestIdentifier);

    /**
     * Decodes the head of an endpoint's response.
     *
     * @param receivedAtNanos monotonic time of its arrival, in nanoseconds
     */
    ResponseHead decodeResponseHead(
            HttpResponse response, String requestIdentifier, long receivedAtNanos);

    /** Returns the headers of an endpoint's response that are relayed to the caller. */
    HttpHeaders callerHeaders(HttpResponse response);

    /** Decodes the handle of a processed prompt from the response to a prefill call. */
    Optional<String> decodeProcessedPromptHandle(byte[] body);

    /** Returns the path of the DELETE call that releases a processed prompt. */
    String releasePath(ProcessedPrompt prompt);
}
