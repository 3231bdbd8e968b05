package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * One attempt of a request at one endpoint. Its in-flight cost counts against the endpoint until it
 * is closed; exactly one of the outcome methods is called before that. Thread-safe.
 */
public interface Assignment extends AutoCloseable {
    /** Returns the chosen endpoint. */
    EndpointDescription endpoint();

    /** Records that the head of a response arrived. */
    default void responded() {}

    /** Records that the prompt was processed and the first token arrived. */
    void firstToken();

    /** Records the time, in nanoseconds, that the latest tokens of a response in progress took. */
    default void progressed(int tokens, long nanos) {}

    /** Records a full response with the token counts that the endpoint reported; 0 when unknown. */
    void succeeded(long promptTokens, long outputTokens);

    /**
     * Records a failure of the endpoint.
     *
     * @param retryAfter retry-after delay that the endpoint asked for
     */
    void failed(Optional<Duration> retryAfter);

    /** Records that the request was sent and got no answer, or only a part of one. */
    default void lost() {
        failed(Optional.empty());
    }

    /**
     * Records that the caller disconnected; this is neither a success nor a failure of the
     * endpoint.
     */
    void cancelled();

    /** Releases the in-flight cost. */
    @Override
    void close();
}
