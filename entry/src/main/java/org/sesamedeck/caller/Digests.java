package org.sesamedeck.caller;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** SHA-256 digests. */
final class Digests {
    private Digests() {}

    static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException absent) {
            throw new IllegalStateException("this Java platform lacks SHA-256", absent);
        }
    }

    /** Returns the digest of the parts, each prefixed with its length to keep them distinct. */
    static byte[] sha256OfParts(byte[]... parts) {
        MessageDigest digest = newSha256();
        for (byte[] part : parts) {
            digest.update(java.nio.ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
            digest.update(part);
        }
        return digest.digest();
    }

    static byte[] sha256(byte[] bytes) {
        return newSha256().digest(bytes);
    }
}
