package org.sesamedeck.caller;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.sesamedeck.core.HostAddress;

/**
 * Encodes, signs and verifies resume tokens. The signature covers the client account, so a token is
 * useless to another client account, and the address, so a caller cannot choose where the entry
 * connects to.
 */
public final class ResumeTokenCodec {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int SIGNATURE_BYTES = 16;
    private static final int MAX_TOKEN_CHARACTERS = 1_024;
    private static final int FIELD_COUNT = 6;
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();

    private final SecretKeySpec mKey;

    private ResumeTokenCodec(SecretKeySpec key) {
        mKey = key;
    }

    /** Returns a codec with the secret that all entry hosts share. */
    public static ResumeTokenCodec of(String secret) {
        return new ResumeTokenCodec(
                new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    /** Returns the signed text of a token for a client account. */
    String encode(ResumeToken token, String clientAccount) {
        byte[] content =
                String.join(
                                "|",
                                token.endpoint(),
                                token.address().address(),
                                String.valueOf(token.address().port()),
                                token.streamId(),
                                String.valueOf(token.isContinuation()),
                                String.valueOf(token.number()))
                        .getBytes(StandardCharsets.UTF_8);
        return ENCODER.encodeToString(content)
                + "."
                + ENCODER.encodeToString(signature(content, clientAccount));
    }

    /** Returns the token; empty when it was not issued to the client account with this secret. */
    Optional<ResumeToken> decode(String text, String clientAccount) {
        int dot = text.indexOf('.');
        if (dot < 0 || text.length() > MAX_TOKEN_CHARACTERS) {
            return Optional.empty();
        }
        try {
            byte[] content = Base64.getUrlDecoder().decode(text.substring(0, dot));
            byte[] signature = Base64.getUrlDecoder().decode(text.substring(dot + 1));
            if (!MessageDigest.isEqual(signature, signature(content, clientAccount))) {
                return Optional.empty();
            }
            String[] fields = new String(content, StandardCharsets.UTF_8).split("\\|", -1);
            if (fields.length != FIELD_COUNT) {
                return Optional.empty();
            }
            return Optional.of(
                    new ResumeToken(
                            fields[0],
                            HostAddress.of(fields[1], Integer.parseInt(fields[2])),
                            fields[3],
                            Boolean.parseBoolean(fields[4]),
                            Long.parseLong(fields[5])));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private byte[] signature(byte[] content, String clientAccount) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            mac.update(clientAccount.getBytes(StandardCharsets.UTF_8));
            mac.update((byte) '|');
            return Arrays.copyOf(mac.doFinal(content), SIGNATURE_BYTES);
        } catch (GeneralSecurityException absent) {
            throw new IllegalStateException("this Java platform lacks " + ALGORITHM, absent);
        }
    }
}
