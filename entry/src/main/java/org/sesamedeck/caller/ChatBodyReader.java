package org.sesamedeck.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Reads the body of a chat request token by token and writes the body for engines meanwhile, in the
 * memory of these two bodies whatever the number of fields.
 */
final class ChatBodyReader {
    /** Without a table of names, which would keep each of a million different ones. */
    private static final JsonFactory FACTORY =
            Json.newFactoryBuilder().disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES).build();

    private final JsonParser mParser;
    private final Output mOutput;
    private final JsonGenerator mGenerator;
    private final ChatFields mFields = new ChatFields();
    private int mMessagesStart;
    private int mMessagesEnd;

    /** Output whose written part can be read without a copy. */
    private static final class Output extends ByteArrayOutputStream {
        private Output(int size) {
            super(size);
        }

        private ByteSlice slice(int start) {
            return new ByteSlice(buf, start, count - start);
        }
    }

    private ChatBodyReader(JsonParser parser, Output output, JsonGenerator generator) {
        mParser = parser;
        mOutput = output;
        mGenerator = generator;
    }

    /**
     * Returns the fields of a body and the body for engines, with streaming enabled.
     *
     * @throws CallerException with BAD_REQUEST when the body is not a JSON object
     * @throws IOException when the body is not JSON, or has text that UTF-8 cannot represent
     */
    static ChatFields read(byte[] body) throws IOException {
        Output output = new Output(Math.max(64, body.length));
        try (JsonParser parser = FACTORY.createParser(body);
                JsonGenerator generator = FACTORY.createGenerator(output)) {
            ChatBodyReader reader = new ChatBodyReader(parser, output, generator);
            reader.readObject();
            generator.flush();
            reader.mFields.setEngineBody(
                    output.toByteArray(), reader.mMessagesStart, reader.mMessagesEnd);
            return reader.mFields;
        }
    }

    private void readObject() throws IOException {
        if (mParser.nextToken() != JsonToken.START_OBJECT) {
            throw ChatRequest.badRequest("the body must be a JSON object");
        }
        mGenerator.writeStartObject();
        while (mParser.nextToken() != JsonToken.END_OBJECT) {
            readField();
        }
        mGenerator.writeBooleanField("stream", true);
        mGenerator.writeEndObject();
        if (mParser.nextToken() != null) {
            throw new JsonParseException(mParser, "text after the end of the object");
        }
    }

    private void readField() throws IOException {
        String name = mParser.currentName();
        JsonToken token = mParser.nextToken();
        mFields.add(name, mParser);
        if (name.equals("stream")) {
            mParser.skipChildren();
            return;
        }
        mGenerator.writeFieldName(name);
        if (name.equals("messages") && token == JsonToken.START_ARRAY) {
            copyMessages();
        } else if (name.equals("tools") && token == JsonToken.START_ARRAY) {
            copyTools();
        } else {
            mGenerator.copyCurrentStructure(mParser);
        }
    }

    private void copyTools() throws IOException {
        int count = 0;
        mGenerator.writeStartArray();
        while (mParser.nextToken() != JsonToken.END_ARRAY) {
            mGenerator.copyCurrentStructure(mParser);
            count++;
        }
        mGenerator.writeEndArray();
        mFields.setToolCount(count);
    }

    private void copyMessages() throws IOException {
        mGenerator.writeStartArray();
        mGenerator.flush();
        mMessagesStart = mOutput.size() - 1;
        boolean isFirst = true;
        while (mParser.nextToken() != JsonToken.END_ARRAY) {
            int start = mOutput.size() + (isFirst ? 0 : 1);
            boolean isValid = copyMessage();
            mGenerator.flush();
            mFields.addMessage(isValid, mOutput.slice(start).hash());
            isFirst = false;
        }
        mGenerator.writeEndArray();
        mGenerator.flush();
        mMessagesEnd = mOutput.size();
    }

    /** Copies a message and returns whether it is an object with a role. */
    private boolean copyMessage() throws IOException {
        if (mParser.currentToken() != JsonToken.START_OBJECT) {
            mGenerator.copyCurrentStructure(mParser);
            return false;
        }
        boolean hasRole = false;
        mGenerator.writeStartObject();
        while (mParser.nextToken() != JsonToken.END_OBJECT) {
            String name = mParser.currentName();
            mGenerator.writeFieldName(name);
            JsonToken token = mParser.nextToken();
            if (name.equals("role")) {
                hasRole = token == JsonToken.VALUE_STRING;
            }
            mGenerator.copyCurrentStructure(mParser);
        }
        mGenerator.writeEndObject();
        return hasRole;
    }
}
