package org.sesamedeck.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** JSON form of the objects and documents of this package; unknown fields are ignored. */
final class JsonCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private JsonCodec() {}

    static String format(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("cannot serialize " + value.getClass(), impossible);
        }
    }

    static <T> T parse(String description, String text, Class<T> type) {
        T value;
        try {
            value = MAPPER.readValue(text, type);
        } catch (JsonProcessingException failure) {
            throw SesamedeckException.of(
                    ResultCode.INVALID_CONFIGURATION,
                    description + " is not valid JSON: " + failure.getOriginalMessage(),
                    failure);
        }
        if (value == null) {
            throw SesamedeckException.of(
                    ResultCode.INVALID_CONFIGURATION, description + " is null");
        }
        return value;
    }
}
