package org.sesamedeck.request;

import java.util.Optional;
import org.sesamedeck.routing.EndpointDescription;

/** Carries out what the core decides about one request. All calls come from its thread. */
public interface RequestPort {
    /**
     * Sends the caller's request to an endpoint; the listener may be called before this returns.
     */
    EndpointCall send(EndpointDescription endpoint, CallOptions options, CallListener listener);

    /** Reads the name of the KV cache that the answer to a prefill call tells. */
    Optional<String> processedPromptHandle(AnswerHead head, byte[] body);

    /** Gives up a processed prompt that no endpoint will use. */
    void release(ProcessedPrompt prompt);

    /** Answers the caller with a whole answer of an endpoint. */
    void answer(AnswerHead head, byte[] body);

    /** Begins to answer the caller with a stream. */
    void beginStream(AnswerHead head);

    /** Adds whole events to the stream. */
    void streamEvents(byte[] bytes);

    /** Ends the stream as complete. */
    void endStream();

    /** Answers the caller with a failure of this system. */
    void refuse(Refusal refusal);

    /** Closes the caller's connection so that the begun answer is not taken as complete. */
    void abort();
}
