package org.sesamedeck.emulator.response;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Response text of the emulated engines, a pure function of model, prompt and length. The engine
 * generates it and the load test tool compares it byte by byte, also after a resume or a
 * continuation on another engine.
 */
public final class ResponseText {
    /** Length of each token in characters, and in bytes because the text is ASCII. */
    public static final int TOKEN_BYTES = 4;

    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final int LETTERS = 26;

    private final long mSeed;
    private final int mTokens;

    private ResponseText(long seed, int tokens) {
        mSeed = seed;
        mTokens = tokens;
    }

    /** Returns the response of {@code tokens} tokens to a prompt. */
    public static ResponseText of(String model, String prompt, int tokens) {
        return new ResponseText(hash(model + "\n" + prompt), tokens);
    }

    /** Returns the first 8 bytes of the SHA-256 of a text as a big-endian number. */
    public static long hash(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return ByteBuffer.wrap(digest.digest(text.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }

    /** Returns the seed, which identifies model and prompt. */
    public long seed() {
        return mSeed;
    }

    /** Returns the length in tokens. */
    public int tokens() {
        return mTokens;
    }

    /** Returns the token at an index from 0: three letters and a space. */
    public String token(int index) {
        // SplitMix64 output function: a token is computed without the preceding ones.
        long mixed = mSeed + (index + 1) * GOLDEN_GAMMA;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        mixed = (mixed ^ (mixed >>> 31)) >>> 1;
        char[] letters = new char[TOKEN_BYTES];
        for (int i = 0; i < TOKEN_BYTES - 1; i++) {
            letters[i] = (char) ('a' + mixed % LETTERS);
            mixed /= LETTERS;
        }
        letters[TOKEN_BYTES - 1] = ' ';
        return new String(letters);
    }

    /** Returns the full response text. */
    public String text() {
        StringBuilder text = new StringBuilder(mTokens * TOKEN_BYTES);
        for (int i = 0; i < mTokens; i++) {
            text.append(token(i));
        }
        return text.toString();
    }

    /** Returns whether the response text starts with the given prefix. */
    public boolean startsWith(String prefix) {
        if (prefix.length() > mTokens * TOKEN_BYTES) {
            return false;
        }
        int tokens = (prefix.length() + TOKEN_BYTES - 1) / TOKEN_BYTES;
        return new ResponseText(mSeed, tokens).text().startsWith(prefix);
    }
}
