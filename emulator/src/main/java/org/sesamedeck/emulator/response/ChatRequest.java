package org.sesamedeck.emulator.response;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.HostAddressConverter;

/**
 * The parts of a chat completion request that the emulated engine and the load test tool read.
 *
 * @param model name of the model
 * @param prompt tool definitions and contents of all messages, each followed by a newline
 * @param outputTokens response length: {@code output_tokens}, capped by {@code max_tokens}
 * @param isTruncated whether {@code max_tokens} limits the response length
 * @param isStream whether the response is a stream of server-sent events
 * @param continueFrom response text that the caller has already received
 * @param isPrefillOnly whether to generate only the first token
 * @param kvSource engine from which the KV cache of the prompt can be fetched
 * @param operation identifier of the operation chosen by the caller, recorded in the run ledger
 */
public record ChatRequest(
        String model,
        String prompt,
        int outputTokens,
        boolean isTruncated,
        boolean isStream,
        String continueFrom,
        boolean isPrefillOnly,
        Optional<KvCacheSource> kvSource,
        Optional<String> operation) {
    /** Response length in tokens if the request does not specify one. */
    public static final int DEFAULT_OUTPUT_TOKENS = 64;

    /**
     * Parses a request body.
     *
     * @throws IllegalArgumentException if the model or the messages are missing or the address of
     *     the KV cache source is malformed
     */
    public static ChatRequest parse(JsonNode body) {
        String model = body.path("model").asText("");
        if (model.isEmpty() || !body.path("messages").isArray()) {
            throw new IllegalArgumentException("a request has a model and messages");
        }
        int maxTokens = body.path("max_tokens").asInt(body.path("max_completion_tokens").asInt(0));
        int requestedTokens =
                body.path("output_tokens").asInt(maxTokens > 0 ? maxTokens : DEFAULT_OUTPUT_TOKENS);
        boolean isTruncated = maxTokens > 0 && requestedTokens >= maxTokens;
        return new ChatRequest(
                model,
                prompt(body),
                Math.max(1, isTruncated ? maxTokens : requestedTokens),
                isTruncated,
                body.path("stream").asBoolean(false),
                body.path("continue_from").asText(""),
                body.path("prefill_only").asBoolean(false),
                kvCacheSource(body.path("kv_source")),
                Optional.ofNullable(body.path("operation").asText(null)));
    }

    private static String prompt(JsonNode body) {
        StringBuilder prompt = new StringBuilder();
        if (!body.path("tools").isMissingNode()) {
            prompt.append(body.path("tools")).append('\n');
        }
        for (JsonNode message : body.path("messages")) {
            JsonNode content = message.path("content");
            prompt.append(content.isTextual() ? content.asText() : content.toString());
            prompt.append('\n');
        }
        return prompt.toString();
    }

    private static Optional<KvCacheSource> kvCacheSource(JsonNode source) {
        String address = source.path("address").asText("");
        if (address.isEmpty()) {
            return Optional.empty();
        }
        String authority = address.startsWith("http://") ? address.substring(7) : address;
        String addressAndPort =
                source.has("port") ? authority + ":" + source.path("port").asInt() : authority;
        HostAddress parsed = HostAddressConverter.parse(addressAndPort);
        return Optional.of(new KvCacheSource(parsed, source.path("request_id").asText("")));
    }

    /** Returns the full response to this request, without regard to {@code continueFrom}. */
    public ResponseText response() {
        return ResponseText.of(model, prompt, outputTokens);
    }

    /** Returns whether both requests produce the same tokens and agree on streaming. */
    public boolean isEquivalentTo(ChatRequest other) {
        return model.equals(other.model)
                && prompt.equals(other.prompt)
                && outputTokens == other.outputTokens
                && isStream == other.isStream
                && isPrefillOnly == other.isPrefillOnly
                && continueFrom.equals(other.continueFrom);
    }

    /** Returns the size of the prompt in tokens. */
    public int promptTokens() {
        int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
        return (bytes + ResponseText.TOKEN_BYTES - 1) / ResponseText.TOKEN_BYTES;
    }
}
