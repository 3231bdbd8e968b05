package org.sesamedeck.emulator.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Creates, parses and formats the JSON trees of the emulated interfaces. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns an empty array. */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /**
     * Parses a text; an empty text gives an empty object.
     *
     * @throws IllegalArgumentException if the text is not JSON
     */
    public static JsonNode parse(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return node == null || node.isMissingNode() ? object() : node;
        } catch (JsonProcessingException invalid) {
            throw new IllegalArgumentException("not JSON: " + invalid.getOriginalMessage());
        }
    }

    /** Returns indented text for display. */
    public static String pretty(JsonNode node) {
        return node.toPrettyString();
    }
}
