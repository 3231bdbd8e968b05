package org.sesamedeck.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Converts a stored response into an event stream of one chunk. */
final class StoredResponse {
    private static final ObjectMapper MAPPER = Json.newMapper();

    private StoredResponse() {}

    static byte[] toEvents(byte[] response) {
        try {
            ObjectNode chunk = (ObjectNode) MAPPER.readTree(response);
            chunk.put("object", "chat.completion.chunk");
            ArrayNode choices = MAPPER.createArrayNode();
            for (JsonNode choice : chunk.path("choices")) {
                ObjectNode part = choices.addObject();
                part.set("index", choice.path("index"));
                part.set("delta", choice.path("message"));
                part.set("finish_reason", choice.path("finish_reason"));
            }
            chunk.set("choices", choices);
            return ("data: " + chunk + "\n\ndata: [DONE]\n\n").getBytes(StandardCharsets.UTF_8);
        } catch (IOException malformed) {
            throw new IllegalStateException("a stored response is not valid JSON", malformed);
        }
    }
}
