package org.sesamedeck.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.StringJoiner;

/**
 * One line of a decision log.
 *
 * @param time time of the decision by the clock of the process
 * @param node name of the process that logged the decision
 * @param event kind of decision
 * @param request identifier of the request; empty when the decision belongs to none
 * @param line all fields of the line
 */
record LoggedDecision(Instant time, String node, String event, String request, JsonNode line) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses a line; a log collector may have put its own prefix before the JSON. */
    static Optional<LoggedDecision> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode line = MAPPER.readTree(text.substring(start));
            if (!line.path("event").isTextual()) {
                return Optional.empty();
            }
            return Optional.of(
                    new LoggedDecision(
                            Instant.parse(line.path("time").asText()),
                            line.path("node").asText(),
                            line.path("event").asText(),
                            line.path("request").asText(""),
                            line));
        } catch (JsonProcessingException | DateTimeParseException otherLine) {
            return Optional.empty();
        }
    }

    /** Returns the fields that are specific to the event, as {@code key=value} pairs. */
    String details() {
        StringJoiner details = new StringJoiner(" ");
        line.fields()
                .forEachRemaining(
                        field -> {
                            switch (field.getKey()) {
                                case "time", "node", "event", "request" -> {}
                                default ->
                                        details.add(
                                                field.getKey() + "=" + field.getValue().asText());
                            }
                        });
        return details.toString();
    }
}
