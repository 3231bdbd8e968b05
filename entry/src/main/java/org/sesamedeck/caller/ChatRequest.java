package org.sesamedeck.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.sesamedeck.core.ResultCode;

/**
 * A validated chat completion request. The parsed JSON tree is not retained: open streams hold only
 * the bytes that are sent to engines.
 *
 * @param model name of the model
 * @param isStream whether the caller requested a stream
 * @param maxTokens maximum number of output tokens that the caller allows
 * @param choiceCount number of requested choices
 * @param messageBytes size of the messages in bytes
 * @param toolCount number of tool definitions
 * @param prefixHashes hashes of the prompt prefixes at block boundaries, longest last
 * @param messageHashes hash of each message
 * @param engineBody body that is sent to engines, with streaming enabled
 */
record ChatRequest(
        String model,
        boolean isStream,
        long maxTokens,
        int choiceCount,
        long messageBytes,
        int toolCount,
        long[] prefixHashes,
        long[] messageHashes,
        byte[] engineBody) {
    private static final ObjectMapper MAPPER =
            Json.newMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final int MAX_NAME_CHARACTERS = 200;
    private static final int MAX_CHOICES = 16;
    private static final int PREFIX_BLOCK_BYTES = 1_024;
    private static final int MAX_PREFIX_BLOCKS = 64;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Fields that only the entry may set: with them, a caller could override its decisions. */
    private static final Set<String> RESERVED =
            Set.of("continue_from", "prefill_only", "kv_source");

    /**
     * Parses and validates a body.
     *
     * @param maxTokensLimit maximum number of output tokens that a caller may request
     * @throws CallerException with BAD_REQUEST and a message that names the field
     */
    static ChatRequest parse(byte[] body, long maxTokensLimit) {
        ObjectNode tree = tree(body);
        for (String field : RESERVED) {
            if (tree.has(field)) {
                throw badRequest("field " + field + " is reserved");
            }
        }
        JsonNode model = tree.path("model");
        if (!model.isTextual()
                || model.textValue().isEmpty()
                || model.textValue().length() > MAX_NAME_CHARACTERS) {
            throw badRequest(
                    "field model must be a name of 1 to " + MAX_NAME_CHARACTERS + " characters");
        }
        checkMessages(tree.path("messages"));
        JsonNode stream = tree.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean() && !stream.isNull()) {
            throw badRequest("field stream must be true or false");
        }
        long maxTokens =
                Math.min(
                        number(tree, "max_tokens", maxTokensLimit),
                        number(tree, "max_completion_tokens", maxTokensLimit));
        int choiceCount = tree.hasNonNull("n") ? (int) number(tree, "n", MAX_CHOICES) : 1;
        boolean isStream = stream.asBoolean(false);
        tree.put("stream", true);
        try {
            byte[] messages = MAPPER.writeValueAsBytes(tree.path("messages"));
            byte[] engineBody = MAPPER.writeValueAsBytes(tree);
            return new ChatRequest(
                    model.textValue(),
                    isStream,
                    maxTokens,
                    choiceCount,
                    messages.length,
                    tree.path("tools").size(),
                    prefixHashes(model.textValue(), messages),
                    messageHashes(tree.path("messages")),
                    engineBody);
        } catch (JsonProcessingException unwritable) {
            throw badRequest("the body holds text that cannot be written as UTF-8");
        }
    }

    /** Returns the body with which an engine continues a response from the delivered text. */
    byte[] continuationBody(String deliveredText) {
        try {
            ObjectNode tree = (ObjectNode) MAPPER.readTree(engineBody);
            tree.put("continue_from", deliveredText);
            return MAPPER.writeValueAsBytes(tree);
        } catch (IOException impossible) {
            throw new IllegalStateException(
                    "a validated request body cannot be parsed again", impossible);
        }
    }

    private static ObjectNode tree(byte[] body) {
        if (!isUtf8(body)) {
            throw badRequest("the body is not valid UTF-8");
        }
        try {
            if (MAPPER.readTree(body) instanceof ObjectNode object) {
                return object;
            }
        } catch (JsonProcessingException malformed) {
            throw badRequest("the body is not valid JSON: " + malformed.getOriginalMessage());
        } catch (IOException failure) {
            throw badRequest("the body cannot be read");
        }
        throw badRequest("the body must be a JSON object");
    }

    private static boolean isUtf8(byte[] body) {
        CharsetDecoder decoder =
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPORT)
                        .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer source = ByteBuffer.wrap(body);
        CharBuffer scratch = CharBuffer.allocate(PREFIX_BLOCK_BYTES);
        CoderResult result = CoderResult.OVERFLOW;
        while (result.isOverflow()) {
            scratch.clear();
            result = decoder.decode(source, scratch, true);
        }
        return !result.isError();
    }

    private static void checkMessages(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            throw badRequest("field messages must be a list with at least one message");
        }
        for (JsonNode message : messages) {
            if (!message.isObject() || !message.path("role").isTextual()) {
                throw badRequest("each of the messages must be an object with a role");
            }
        }
    }

    private static long number(ObjectNode tree, String field, long limit) {
        if (!tree.hasNonNull(field)) {
            return limit;
        }
        JsonNode value = tree.get(field);
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.longValue() < 1
                || value.longValue() > limit) {
            throw badRequest("field " + field + " must be a whole number from 1 to " + limit);
        }
        return value.longValue();
    }

    private static long[] prefixHashes(String model, byte[] messages) {
        List<Long> hashes = new ArrayList<>();
        long hash = FNV_OFFSET;
        for (byte value : model.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ value) * FNV_PRIME;
        }
        int end = Math.min(messages.length, PREFIX_BLOCK_BYTES * MAX_PREFIX_BLOCKS);
        for (int i = 0; i < end; i++) {
            hash = (hash ^ messages[i]) * FNV_PRIME;
            if ((i + 1) % PREFIX_BLOCK_BYTES == 0) {
                hashes.add(hash);
            }
        }
        return hashes.stream().mapToLong(Long::longValue).toArray();
    }

    private static long[] messageHashes(JsonNode messages) {
        long[] hashes = new long[messages.size()];
        for (int i = 0; i < hashes.length; i++) {
            long hash = FNV_OFFSET;
            for (byte value : messages.get(i).toString().getBytes(StandardCharsets.UTF_8)) {
                hash = (hash ^ value) * FNV_PRIME;
            }
            hashes[i] = hash;
        }
        return hashes;
    }

    private static CallerException badRequest(String message) {
        return CallerException.of(ResultCode.BAD_REQUEST, message);
    }
}
