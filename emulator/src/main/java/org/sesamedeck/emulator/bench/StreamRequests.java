package org.sesamedeck.emulator.bench;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Builds requests for streams, each with a unique identifier and prompt. */
final class StreamRequests {
    private final String mModel;
    private final String mKey;
    private final int mOutputTokens;
    private final AtomicLong mNext = new AtomicLong();

    private StreamRequests(String model, String key, int outputTokens) {
        mModel = model;
        mKey = key;
        mOutputTokens = outputTokens;
    }

    static StreamRequests of(String model, String key, int outputTokens) {
        return new StreamRequests(model, key, outputTokens);
    }

    /** Returns the head and body of the next request. */
    byte[] next() {
        long number = mNext.incrementAndGet();
        String body =
                "{\"model\":\""
                        + mModel
                        + "\",\"stream\":true,\"max_tokens\":"
                        + mOutputTokens
                        + ",\"output_tokens\":"
                        + mOutputTokens
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"request "
                        + number
                        + "\"}]}";
        String head =
                "POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                        + "Authorization: Bearer "
                        + mKey
                        + "\r\nContent-Type: application/json\r\nX-Request-Id: bench-"
                        + mOutputTokens
                        + "-"
                        + System.identityHashCode(this)
                        + "-"
                        + number
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.US_ASCII);
    }
}
