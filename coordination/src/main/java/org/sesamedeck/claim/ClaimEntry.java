package org.sesamedeck.claim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.util.Base64;
import java.util.HexFormat;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Stored form of one claim: a line with a JSON array. Every update of a shard writes all claims of
 * its open segment, so the format is compact: it has no field names, and hashes are base64-encoded.
 *
 * @param key hash of the claim key
 * @param digest digest of the request
 * @param attemptId identifier of the attempt
 * @param state CLAIMED, DONE or FREE
 * @param deadlineMillis shard time at which the attempt's deadline passes
 * @param outcome stored outcome when DONE, otherwise null
 */
record ClaimEntry(
        String key,
        String digest,
        String attemptId,
        StoredState state,
        long deadlineMillis,
        ClaimOutcome outcome) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int HASH_DIGITS = 64;

    /** Prefix of a base64-encoded hash; no hexadecimal text begins with it. */
    private static final String ENCODED_HASH_PREFIX = "~";

    static ClaimEntry claimed(ClaimAttempt attempt, long deadlineMillis) {
        return new ClaimEntry(
                attempt.key().hash(),
                attempt.requestDigest(),
                attempt.attemptId(),
                StoredState.CLAIMED,
                deadlineMillis,
                null);
    }

    ClaimEntry done(ClaimOutcome stored) {
        return new ClaimEntry(key, digest, attemptId, StoredState.DONE, deadlineMillis, stored);
    }

    ClaimEntry free() {
        return new ClaimEntry(key, digest, attemptId, StoredState.FREE, deadlineMillis, null);
    }

    boolean isHeldBy(String otherAttemptId) {
        return state == StoredState.CLAIMED && attemptId.equals(otherAttemptId);
    }

    String format() {
        ArrayNode fields = MAPPER.createArrayNode();
        fields.add(state.name()).add(encodeHash(key)).add(encodeHash(digest)).add(attemptId);
        fields.add(deadlineMillis);
        if (outcome != null) {
            fields.add(outcome.status())
                    .add(outcome.contentType())
                    .add(outcome.body())
                    .add(outcome.isTruncated());
        }
        return fields.toString();
    }

    static ClaimEntry parse(String line) {
        try {
            JsonNode fields = MAPPER.readTree(line);
            ClaimOutcome outcome =
                    fields.size() < 9
                            ? null
                            : new ClaimOutcome(
                                    fields.path(5).asInt(),
                                    fields.path(6).asText(),
                                    fields.path(7).binaryValue(),
                                    fields.path(8).asBoolean());
            return new ClaimEntry(
                    decodeHash(fields.path(1).asText()),
                    decodeHash(fields.path(2).asText()),
                    fields.path(3).asText(),
                    StoredState.valueOf(fields.path(0).asText()),
                    fields.path(4).asLong(),
                    outcome);
        } catch (IOException | IllegalArgumentException failure) {
            throw unreadable(failure);
        }
    }

    private static SesamedeckException unreadable(Exception failure) {
        return SesamedeckException.of(
                ResultCode.INTERNAL_ERROR, "claim cannot be read: " + failure, failure);
    }

    private static String encodeHash(String hash) {
        if (hash.length() != HASH_DIGITS || !hash.matches("[0-9a-f]+")) {
            return hash;
        }
        byte[] bytes = HexFormat.of().parseHex(hash);
        return ENCODED_HASH_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private static String decodeHash(String text) {
        return text.startsWith(ENCODED_HASH_PREFIX)
                ? HexFormat.of().formatHex(Base64.getUrlDecoder().decode(text.substring(1)))
                : text;
    }

    /** State of a stored claim. */
    enum StoredState {
        CLAIMED,
        DONE,
        FREE
    }
}
