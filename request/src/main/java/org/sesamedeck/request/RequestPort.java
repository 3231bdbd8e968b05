package org.sesamedeck.request;

import java.util.Optional;
import org.sesamedeck.routing.EndpointDescription;

/** The transport side of one request. All methods are called on the request's thread. */
public interface RequestPort {
    /**
     * Sends the caller's request to an endpoint; the listener may be called before this returns.
     */
    EndpointCall send(EndpointDescription endpoint, CallOptions options, CallListener listener);

    /** Extracts the KV cache handle from the response to a prefill call. */
    Optional<String> processedPromptHandle(ResponseHead head, byte[] body);

    /** Releases a processed prompt that no endpoint will use. */
    void release(ProcessedPrompt prompt);

    /** Sends the full response of an endpoint to the caller. */
    void respond(ResponseHead head, byte[] body);

    /** Starts a streamed response to the caller. */
    void beginStream(ResponseHead head);

    /** Sends complete events to the caller. */
    void streamEvents(byte[] bytes);

    /** Ends the stream as complete. */
    void endStream();

    /** Sends a response that this system generates, a refusal or a failure, to the caller. */
    void sendError(ErrorResponse error);

    /** Closes the caller's connection so that the started response is not taken as complete. */
    void abort();
}
