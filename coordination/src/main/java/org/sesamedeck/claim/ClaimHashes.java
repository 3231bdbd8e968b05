package org.sesamedeck.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** Computes the hashes of claim keys. */
final class ClaimHashes {
    private ClaimHashes() {}

    static ClaimKey key(String clientAccount, String idempotencyKey) {
        byte[] key = idempotencyKey.getBytes(StandardCharsets.UTF_8);
        if (key.length == 0 || key.length > ClaimKey.MAX_IDEMPOTENCY_KEY_BYTES) {
            throw SesamedeckException.of(
                    ResultCode.BAD_REQUEST,
                    "Idempotency-Key has "
                            + key.length
                            + " bytes; allowed are 1 to "
                            + ClaimKey.MAX_IDEMPOTENCY_KEY_BYTES);
        }
        MessageDigest digest = sha256();
        // The length prefix prevents two pairs of client account and key from sharing one input.
        byte[] accountBytes = clientAccount.getBytes(StandardCharsets.UTF_8);
        digest.update((accountBytes.length + ":").getBytes(StandardCharsets.UTF_8));
        digest.update(accountBytes);
        digest.update(key);
        return new ClaimKey(hexadecimal(digest.digest()));
    }

    static String hexadecimal(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", impossible);
        }
    }
}
