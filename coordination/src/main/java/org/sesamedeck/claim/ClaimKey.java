package org.sesamedeck.claim;

/**
 * Identifies a request that may run at most once.
 *
 * @param hash SHA-256 of client account and idempotency key in lower-case hexadecimal
 */
public record ClaimKey(String hash) {
    /** Maximum length of an idempotency key in bytes; a longer one is refused with BAD_REQUEST. */
    public static final int MAX_IDEMPOTENCY_KEY_BYTES = 200;

    /**
     * Returns the key for a caller's request.
     *
     * @throws org.sesamedeck.core.SesamedeckException with BAD_REQUEST when the idempotency key is
     *     empty or longer than 200 bytes in UTF-8
     */
    public static ClaimKey of(String clientAccount, String idempotencyKey) {
        return ClaimHashes.key(clientAccount, idempotencyKey);
    }

    /** Returns the key for a hash that was received in a message. */
    public static ClaimKey ofHash(byte[] hash) {
        return new ClaimKey(ClaimHashes.hexadecimal(hash));
    }
}
