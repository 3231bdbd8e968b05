package org.sesamedeck.gateway;

import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.sesamedeck.request.LogEntry;

/** Writes each entry as one line of JSON. */
final class LogLineEncoder extends EncoderBase<LogLine> {
    private final JsonFactory mJson = new JsonFactory();
    private final String mNode;

    LogLineEncoder(String node) {
        mNode = node;
    }

    @Override
    public byte[] headerBytes() {
        return new byte[0];
    }

    @Override
    public byte[] footerBytes() {
        return new byte[0];
    }

    @Override
    public byte[] encode(LogLine line) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator json = mJson.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("time", line.time().toString());
            json.writeStringField("node", mNode);
            json.writeStringField("event", line.entry().decision().name());
            if (line.request().isPresent()) {
                json.writeStringField("request", line.request().get());
            }
            for (LogEntry.Field field : line.entry().fields()) {
                write(json, field);
            }
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator json, LogEntry.Field field) throws IOException {
        Object value = field.value();
        if (value instanceof Boolean flag) {
            json.writeBooleanField(field.name(), flag);
        } else if (value instanceof Double || value instanceof Float) {
            json.writeNumberField(field.name(), ((Number) value).doubleValue());
        } else if (value instanceof Number number) {
            json.writeNumberField(field.name(), number.longValue());
        } else {
            json.writeStringField(field.name(), String.valueOf(value));
        }
    }
}
