package org.sesamedeck.endpoint.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** Reads and writes the command log as JSON. */
final class CommandLogCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CommandLogCodec() {}

    static CommandLog parse(String payload) {
        if (payload.isEmpty()) {
            return CommandLog.empty();
        }
        try {
            return MAPPER.readValue(payload, CommandLog.class);
        } catch (JsonProcessingException failure) {
            throw SesamedeckException.of(
                    ResultCode.INTERNAL_ERROR,
                    "command log cannot be read: " + failure.getOriginalMessage(),
                    failure);
        }
    }

    static String format(CommandLog log) {
        try {
            return MAPPER.writeValueAsString(log);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("command log cannot be written", failure);
        }
    }
}
