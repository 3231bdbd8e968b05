package org.sesamedeck.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** Parses and rewrites the JSON chunks that engines send. */
final class Chunks {
    private static final ObjectMapper MAPPER = Json.newMapper();
    private static final int MAX_MESSAGE_CHARACTERS = 300;

    private Chunks() {}

    /**
     * Parses the data of an event.
     *
     * @throws SesamedeckException with OUTCOME_UNKNOWN when it is not a JSON object
     */
    static ObjectNode parse(String data) {
        try {
            if (MAPPER.readTree(data) instanceof ObjectNode chunk) {
                return chunk;
            }
        } catch (JsonProcessingException malformed) {
            throw SesamedeckException.of(
                    ResultCode.OUTCOME_UNKNOWN, "the engine sent a malformed event", malformed);
        }
        throw SesamedeckException.of(
                ResultCode.OUTCOME_UNKNOWN, "the engine sent an event that is not an object");
    }

    /**
     * Returns whether a chunk carries only the role; the caller already has it from the first
     * engine.
     */
    static boolean isRoleOnly(JsonNode chunk) {
        JsonNode choice = chunk.path("choices").path(0);
        return choice.path("delta").has("role")
                && choice.path("delta").path("content").asText("").isEmpty()
                && !choice.hasNonNull("finish_reason");
    }

    /** Returns a chunk of another engine with the id and time of the response it continues. */
    static String withIdOf(ResponseAccumulator response, ObjectNode chunk) {
        for (String field : new String[] {"id", "created"}) {
            if (chunk.has(field) && !response.sharedField(field).isMissingNode()) {
                chunk.set(field, response.sharedField(field));
            }
        }
        return chunk.toString();
    }

    /** Returns the message of an engine's error body, or a default if it has none. */
    static String errorMessage(Optional<byte[]> body) {
        String message = "the request is not valid";
        try {
            String text = new String(body.orElse(new byte[0]), StandardCharsets.UTF_8);
            message = MAPPER.readTree(text).path("error").path("message").asText(message);
        } catch (JsonProcessingException notJson) {
            return message;
        }
        return message.substring(0, Math.min(message.length(), MAX_MESSAGE_CHARACTERS));
    }
}
