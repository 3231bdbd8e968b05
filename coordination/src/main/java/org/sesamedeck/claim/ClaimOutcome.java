package org.sesamedeck.claim;

import java.util.Arrays;

/**
 * The stored response to a request.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body; at most 4 KB of it are stored
 * @param isTruncated whether the body was longer
 */
public record ClaimOutcome(int status, String contentType, byte[] body, boolean isTruncated) {
    /** Maximum length of a stored body in bytes. */
    public static final int MAX_BODY_BYTES = 4096;

    /** Returns an outcome with the body truncated to {@link #MAX_BODY_BYTES}. */
    public static ClaimOutcome of(int status, String contentType, byte[] body) {
        return new ClaimOutcome(status, contentType, body, false).truncated();
    }

    /** Returns this outcome with the body truncated to {@link #MAX_BODY_BYTES}. */
    ClaimOutcome truncated() {
        return body.length <= MAX_BODY_BYTES
                ? this
                : new ClaimOutcome(status, contentType, Arrays.copyOf(body, MAX_BODY_BYTES), true);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ClaimOutcome that
                && status == that.status
                && isTruncated == that.isTruncated
                && contentType.equals(that.contentType)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return 31 * status + Arrays.hashCode(body);
    }
}
