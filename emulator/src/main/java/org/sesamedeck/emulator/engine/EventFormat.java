package org.sesamedeck.emulator.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sesamedeck.emulator.http.Json;

/**
 * Formats responses according to OpenAI's chat completions API, extended by event numbers and the
 * load of the engine.
 */
final class EventFormat {
    static final String DONE_EVENT = "data: [DONE]\n\n";

    private EventFormat() {}

    /** Returns the event of a token; event numbers start at 1. */
    static String token(Sequence sequence, int event) {
        ObjectNode chunk = chunk(sequence, "chat.completion.chunk");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (event == 1) {
            delta.put("role", "assistant");
        }
        delta.put("content", sequence.eventText(event));
        choice.putNull("finish_reason");
        return event(event, chunk);
    }

    /** Returns the last numbered event, which holds the token usage and the load of the engine. */
    static String usage(Sequence sequence, String loadHeader) {
        ObjectNode chunk = chunk(sequence, "chat.completion.chunk");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", finishReason(sequence));
        addUsageAndLoad(chunk, sequence, loadHeader);
        return event(sequence.generatedTokens() + 1, chunk);
    }

    /** Returns the full response to a request without streaming. */
    static ObjectNode completion(Sequence sequence, String loadHeader) {
        ObjectNode completion = chunk(sequence, "chat.completion");
        ObjectNode choice = completion.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", sequence.text());
        choice.put("finish_reason", finishReason(sequence));
        addUsageAndLoad(completion, sequence, loadHeader);
        return completion;
    }

    private static String finishReason(Sequence sequence) {
        boolean isTruncated =
                sequence.request().isTruncated() || sequence.request().isPrefillOnly();
        return isTruncated ? "length" : "stop";
    }

    private static ObjectNode chunk(Sequence sequence, String type) {
        return Json.object()
                .put("id", "chatcmpl-" + sequence.requestId())
                .put("object", type)
                .put("created", 0)
                .put("model", sequence.request().model());
    }

    private static void addUsageAndLoad(ObjectNode chunk, Sequence sequence, String loadHeader) {
        int prompt = sequence.request().promptTokens();
        ObjectNode usage =
                chunk.putObject("usage")
                        .put("prompt_tokens", prompt)
                        .put("completion_tokens", sequence.generatedTokens())
                        .put("total_tokens", prompt + sequence.generatedTokens());
        usage.putObject("prompt_tokens_details").put("cached_tokens", sequence.cachedTokens());
        chunk.put("x_load", loadHeader);
    }

    private static String event(int number, ObjectNode data) {
        return "id: " + number + "\ndata: " + data + "\n\n";
    }
}
