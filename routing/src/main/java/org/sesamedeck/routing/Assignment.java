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

    /** Records that the prompt was processed and the first token arrived. */
    void firstToken();

    /** Records that an answer in progress took this long for its latest tokens. */
    default void progressed(int tokens, long nanos) {}

    /** Records a whole answer with the tokens that the endpoint reported; 0 when unknown. */
    void succeeded(long promptTokens, long outputTokens);

    /**
     * Records a failure of the endpoint.
     *
     * @param retryAfter how long the endpoint asked to be left alone
     */
    void failed(Optional<Duration> retryAfter);

    /** Records that the caller went away; says nothing about the endpoint. */
    void cancelled();

    /** Releases the in-flight cost. */
    @Override
    void close();
}
