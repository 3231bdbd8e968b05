package org.sesamedeck.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The SHA-256 digest of a key. Digests are compared in constant time. */
final class KeyDigest {
    private final byte[] mDigest;

    private KeyDigest(byte[] digest) {
        mDigest = digest;
    }

    static KeyDigest of(String key) {
        try {
            MessageDigest algorithm = MessageDigest.getInstance("SHA-256");
            return new KeyDigest(algorithm.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest
                && MessageDigest.isEqual(mDigest, ((KeyDigest) other).mDigest);
    }

    @Override
    public int hashCode() {
        return ByteBuffer.wrap(mDigest).getInt();
    }
}
