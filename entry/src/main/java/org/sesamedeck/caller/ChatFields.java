package org.sesamedeck.caller;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.math.BigInteger;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The fields of a chat request that the entry decides by, as {@link ChatBodyReader} found them. */
final class ChatFields {
    /** Fields that only the entry may set: with them, a caller could override its decisions. */
    private static final Set<String> RESERVED =
            Set.of("continue_from", "prefill_only", "kv_source");

    private static final Set<String> NUMBERS = Set.of("max_tokens", "max_completion_tokens", "n");
    private static final Set<String> DECISIVE =
            Set.of(
                    "model",
                    "stream",
                    "messages",
                    "tools",
                    "max_tokens",
                    "max_completion_tokens",
                    "n");

    private static final BigInteger MAX_LONG = BigInteger.valueOf(Long.MAX_VALUE);
    private static final ByteSlice NONE = new ByteSlice(new byte[0], 0, 0);
    private static final int MIN_HASHES = 16;

    private final Set<String> mSeen = new HashSet<>();
    private final Map<String, Long> mNumbers = new HashMap<>();
    private Optional<String> mReserved = Optional.empty();
    private Optional<String> mRepeated = Optional.empty();
    private Optional<String> mModel = Optional.empty();
    private JsonToken mStream = JsonToken.VALUE_NULL;
    private ByteSlice mMessages = NONE;
    private long[] mMessageHashes = new long[MIN_HASHES];
    private int mMessageCount;
    private boolean mHasInvalidMessage;
    private int mToolCount;
    private byte[] mEngineBody = new byte[0];

    /** Records a field of the body, whose value is the current token of the parser. */
    void add(String name, JsonParser parser) throws IOException {
        if (RESERVED.contains(name)) {
            mReserved = Optional.of(name);
        }
        if (!DECISIVE.contains(name)) {
            return;
        }
        if (!mSeen.add(name)) {
            mRepeated = Optional.of(name);
        }
        JsonToken token = parser.currentToken();
        if (name.equals("model") && token == JsonToken.VALUE_STRING) {
            mModel = Optional.of(parser.getText());
        } else if (name.equals("stream")) {
            mStream = token;
        } else if (NUMBERS.contains(name) && token != JsonToken.VALUE_NULL) {
            mNumbers.put(name, value(parser));
        }
    }

    /** Returns the value of a positive whole number, else 0, which no limit allows. */
    private static long value(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            return 0;
        }
        BigInteger value = parser.getBigIntegerValue();
        return value.signum() > 0 && value.compareTo(MAX_LONG) <= 0 ? value.longValue() : 0;
    }

    void addMessage(boolean isValid, long hash) {
        mHasInvalidMessage |= !isValid;
        if (mMessageCount == mMessageHashes.length) {
            mMessageHashes = Arrays.copyOf(mMessageHashes, 2 * mMessageCount);
        }
        mMessageHashes[mMessageCount] = hash;
        mMessageCount++;
    }

    void setToolCount(int toolCount) {
        mToolCount = toolCount;
    }

    void setEngineBody(byte[] engineBody, int messagesStart, int messagesEnd) {
        mEngineBody = engineBody;
        mMessages = new ByteSlice(engineBody, messagesStart, messagesEnd - messagesStart);
    }

    /**
     * Checks that no field overrides a decision of the entry: neither a reserved one nor a second
     * one of the same name, of which the engine might use the other.
     *
     * @throws CallerException with BAD_REQUEST
     */
    void checkUnambiguous() {
        if (mReserved.isPresent()) {
            throw ChatRequest.badRequest("field " + mReserved.get() + " is reserved");
        }
        if (mRepeated.isPresent()) {
            throw ChatRequest.badRequest("field " + mRepeated.get() + " appears more than once");
        }
    }

    /**
     * Checks the messages.
     *
     * @throws CallerException with BAD_REQUEST
     */
    void checkMessages() {
        if (mMessageCount == 0) {
            throw ChatRequest.badRequest("field messages must be a list with at least one message");
        }
        if (mHasInvalidMessage) {
            throw ChatRequest.badRequest("each of the messages must be an object with a role");
        }
    }

    boolean has(String number) {
        return mNumbers.containsKey(number);
    }

    /**
     * Returns a number, or the limit if it is missing.
     *
     * @throws CallerException with BAD_REQUEST
     */
    long number(String name, long limit) {
        long value = mNumbers.getOrDefault(name, limit);
        if (value < 1 || value > limit) {
            throw ChatRequest.badRequest(
                    "field " + name + " must be a whole number from 1 to " + limit);
        }
        return value;
    }

    /**
     * Returns whether the caller requests a stream.
     *
     * @throws CallerException with BAD_REQUEST
     */
    boolean isStream() {
        if (!mStream.isBoolean() && mStream != JsonToken.VALUE_NULL) {
            throw ChatRequest.badRequest("field stream must be true or false");
        }
        return mStream == JsonToken.VALUE_TRUE;
    }

    Optional<String> model() {
        return mModel;
    }

    /** Returns the list of messages as it is sent to engines. */
    ByteSlice messages() {
        return mMessages;
    }

    long[] messageHashes() {
        return Arrays.copyOf(mMessageHashes, mMessageCount);
    }

    int toolCount() {
        return mToolCount;
    }

    byte[] engineBody() {
        return mEngineBody;
    }
}
