package org.sesamedeck.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.exc.StreamWriteException;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import org.sesamedeck.core.ResultCode;

/**
 * A validated chat completion request. Open streams hold only the bytes that are sent to engines.
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
    /** Bytes for each message: its hash and the part of the prompt that it is. */
    private static final int MESSAGE_BYTES = 64;

    /**
     * Memory for parsing by the byte of the body: the body for engines while it grows, and the
     * longest text in characters.
     */
    private static final int PARSING_FACTOR = 4;

    private static final int MAX_NAME_CHARACTERS = 200;
    private static final int MAX_CHOICES = 16;
    private static final int PREFIX_BLOCK_BYTES = 1_024;
    private static final int MAX_PREFIX_BLOCKS = 64;

    /** Returns the memory that parsing takes beside the body, in bytes. */
    static long parsingBytes(int bodyLength) {
        return (long) PARSING_FACTOR * bodyLength;
    }

    /**
     * Parses and validates a body. No tree is built of it: one of 8 MiB with the shortest fields
     * took 270 MB.
     *
     * @param maxTokensLimit maximum number of output tokens that a caller may request
     * @throws CallerException with BAD_REQUEST and a message that names the field
     */
    static ChatRequest parse(byte[] body, long maxTokensLimit) {
        ChatFields fields = read(body);
        fields.checkUnambiguous();
        String model = fields.model().orElse("");
        if (model.isEmpty() || model.length() > MAX_NAME_CHARACTERS) {
            throw badRequest(
                    "field model must be a name of 1 to " + MAX_NAME_CHARACTERS + " characters");
        }
        fields.checkMessages();
        boolean isStream = fields.isStream();
        long maxTokens =
                Math.min(
                        fields.number("max_tokens", maxTokensLimit),
                        fields.number("max_completion_tokens", maxTokensLimit));
        int choiceCount = fields.has("n") ? (int) fields.number("n", MAX_CHOICES) : 1;
        return new ChatRequest(
                model,
                isStream,
                maxTokens,
                choiceCount,
                fields.messages().length(),
                fields.toolCount(),
                prefixHashes(model, fields.messages()),
                fields.messageHashes(),
                fields.engineBody());
    }

    /** Returns the memory that the request takes until it closes, in bytes. */
    long retainedBytes() {
        return engineBody.length + (long) MESSAGE_BYTES * messageHashes.length;
    }

    /** Returns the body with which an engine continues a response from the delivered text. */
    byte[] continuationBody(String deliveredText) {
        byte[] text = TextNode.valueOf(deliveredText).toString().getBytes(StandardCharsets.UTF_8);
        byte[] field = ",\"continue_from\":".getBytes(StandardCharsets.UTF_8);
        int end = engineBody.length - 1;
        ByteBuffer body = ByteBuffer.allocate(end + field.length + text.length + 1);
        return body.put(engineBody, 0, end).put(field).put(text).put((byte) '}').array();
    }

    private static ChatFields read(byte[] body) {
        if (!isUtf8(body)) {
            throw badRequest("the body is not valid UTF-8");
        }
        try {
            return ChatBodyReader.read(body);
        } catch (StreamWriteException unwritable) {
            throw badRequest("the body holds text that cannot be written as UTF-8");
        } catch (JsonProcessingException malformed) {
            throw badRequest("the body is not valid JSON: " + malformed.getOriginalMessage());
        } catch (IOException failure) {
            throw badRequest("the body cannot be read");
        }
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

    private static long[] prefixHashes(String model, ByteSlice messages) {
        int blocks = Math.min(messages.length() / PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS);
        long[] hashes = new long[blocks];
        long hash = FowlerNollVo.OFFSET;
        for (byte value : model.getBytes(StandardCharsets.UTF_8)) {
            hash = FowlerNollVo.add(hash, value);
        }
        for (int i = 0; i < blocks * PREFIX_BLOCK_BYTES; i++) {
            hash = FowlerNollVo.add(hash, messages.get(i));
            if ((i + 1) % PREFIX_BLOCK_BYTES == 0) {
                hashes[i / PREFIX_BLOCK_BYTES] = hash;
            }
        }
        return hashes;
    }

    static CallerException badRequest(String message) {
        return CallerException.of(ResultCode.BAD_REQUEST, message);
    }
}
