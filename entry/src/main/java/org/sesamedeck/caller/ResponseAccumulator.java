package org.sesamedeck.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/** Assembles the chunks of a stream into one OpenAI-style response. Not thread-safe. */
final class ResponseAccumulator {
    private static final ObjectMapper MAPPER = Json.newMapper();

    private final ObjectNode mSharedFields = MAPPER.createObjectNode();
    private final Map<Integer, Choice> mChoices = new TreeMap<>();
    private JsonNode mUsage = MAPPER.missingNode();
    private boolean mHasToolCalls;

    private static final class Choice {
        private final StringBuilder mContent = new StringBuilder();
        private final ObjectNode mMessage = MAPPER.createObjectNode().put("role", "assistant");
        private final Map<Integer, ObjectNode> mToolCalls = new TreeMap<>();
        private String mFinishReason;
    }

    private ResponseAccumulator() {}

    static ResponseAccumulator create() {
        return new ResponseAccumulator();
    }

    void add(JsonNode chunk) {
        for (String field : new String[] {"id", "created", "model", "system_fingerprint"}) {
            if (chunk.hasNonNull(field) && !mSharedFields.has(field)) {
                mSharedFields.set(field, chunk.get(field));
            }
        }
        if (chunk.path("usage").isObject()) {
            mUsage = chunk.get("usage");
        }
        for (JsonNode part : chunk.path("choices")) {
            Choice choice =
                    mChoices.computeIfAbsent(part.path("index").asInt(0), index -> new Choice());
            JsonNode delta = part.path("delta");
            if (delta.path("content").isTextual()) {
                choice.mContent.append(delta.get("content").textValue());
            }
            for (String field : new String[] {"role", "refusal"}) {
                if (delta.path(field).isTextual()) {
                    choice.mMessage.set(field, delta.get(field));
                }
            }
            delta.path("tool_calls").forEach(call -> addToolCall(choice, call));
            if (part.path("finish_reason").isTextual()) {
                choice.mFinishReason = part.get("finish_reason").textValue();
            }
        }
    }

    private void addToolCall(Choice choice, JsonNode part) {
        mHasToolCalls = true;
        ObjectNode call =
                choice.mToolCalls.computeIfAbsent(
                        part.path("index").asInt(0), index -> MAPPER.createObjectNode());
        for (String field : new String[] {"id", "type"}) {
            if (part.path(field).isTextual()) {
                call.set(field, part.get(field));
            }
        }
        ObjectNode function = call.withObjectProperty("function");
        JsonNode partFunction = part.path("function");
        if (partFunction.path("name").isTextual()) {
            function.set("name", partFunction.get("name"));
        }
        function.put(
                "arguments",
                function.path("arguments").asText("") + partFunction.path("arguments").asText(""));
    }

    /** Returns the text of the first choice; empty when there is none. */
    String text() {
        return mChoices.isEmpty() ? "" : mChoices.values().iterator().next().mContent.toString();
    }

    /** Returns whether another engine can continue the response from its text alone. */
    boolean isPlainText() {
        return mChoices.size() <= 1 && !mHasToolCalls;
    }

    /** Returns whether the requested number of choices is present and all have ended. */
    boolean isFinished(int choiceCount) {
        return mChoices.size() >= choiceCount
                && mChoices.values().stream().allMatch(choice -> choice.mFinishReason != null);
    }

    /** Returns the value of a field that all chunks have in common, such as their id. */
    JsonNode sharedField(String field) {
        return mSharedFields.path(field);
    }

    long promptTokens() {
        return mUsage.path("prompt_tokens").asLong(0);
    }

    long outputTokens() {
        return mUsage.path("completion_tokens").asLong(0);
    }

    /** Returns the full response. */
    ObjectNode toResponse() {
        ObjectNode response = MAPPER.createObjectNode();
        response.setAll(mSharedFields);
        response.put("object", "chat.completion");
        ArrayNode choices = response.putArray("choices");
        mChoices.forEach(
                (index, choice) -> {
                    ObjectNode message = choice.mMessage.deepCopy();
                    if (choice.mContent.length() > 0 || choice.mToolCalls.isEmpty()) {
                        message.put("content", choice.mContent.toString());
                    } else {
                        message.putNull("content");
                    }
                    if (!choice.mToolCalls.isEmpty()) {
                        choice.mToolCalls
                                .values()
                                .forEach(message.withArrayProperty("tool_calls")::add);
                    }
                    choices.addObject()
                            .put("index", index)
                            .put("finish_reason", choice.mFinishReason)
                            .set("message", message);
                });
        if (mUsage.isObject()) {
            response.set("usage", mUsage);
        }
        return response;
    }
}
