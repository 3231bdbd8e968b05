package org.sesamedeck.core;

import java.nio.charset.StandardCharsets;

/**
 * Rewrites JSON that a strict parser refuses as a whole because of one value, so that the rest can
 * be read: values nested too deeply and numbers that are too long become {@code null}, and
 * malformed characters are replaced. Works in one pass and with memory in proportion to the text,
 * however deep it is. Text that is no JSON for other reasons is left to the parser.
 */
public final class JsonSanitizer {
    /** Far deeper than any object of the platform. */
    private static final int MAX_DEPTH = 64;

    /** Longer than any number that fits a double or a long. */
    private static final int MAX_NUMBER_LENGTH = 64;

    private static final char REPLACEMENT = '\ufffd';
    private static final int ESCAPE_LENGTH = 6;

    private final String mText;
    private final StringBuilder mResult;
    private int mPosition;
    private int mDepth;

    private JsonSanitizer(String text) {
        mText = text;
        mResult = new StringBuilder(text.length());
    }

    /** Returns the text with those values replaced. */
    public static String sanitize(byte[] json) {
        return new JsonSanitizer(new String(json, StandardCharsets.UTF_8)).sanitize();
    }

    private String sanitize() {
        while (mPosition < mText.length()) {
            char next = mText.charAt(mPosition);
            if (next == '"') {
                copyString();
            } else if (next == '[' || next == '{') {
                open(next);
            } else if (next == ']' || next == '}') {
                mDepth--;
                copy(next);
            } else if (next == '-' || Character.isDigit(next)) {
                copyNumber();
            } else {
                copy(next);
            }
        }
        return mResult.toString();
    }

    private void copy(char character) {
        mResult.append(character);
        mPosition++;
    }

    private void open(char bracket) {
        if (mDepth < MAX_DEPTH) {
            mDepth++;
            copy(bracket);
            return;
        }
        mResult.append("null");
        skipValue();
    }

    /** Skips the array or object that begins at the position. */
    private void skipValue() {
        int depth = 0;
        do {
            char next = mText.charAt(mPosition);
            if (next == '"') {
                mPosition = endOfString();
                continue;
            }
            depth += next == '[' || next == '{' ? 1 : 0;
            depth -= next == ']' || next == '}' ? 1 : 0;
            mPosition++;
        } while (depth > 0 && mPosition < mText.length());
    }

    /** Returns the position after the string that begins at the current one. */
    private int endOfString() {
        int end = mPosition + 1;
        while (end < mText.length() && mText.charAt(end) != '"') {
            end += mText.charAt(end) == '\\' ? 2 : 1;
        }
        return Math.min(mText.length(), end + 1);
    }

    private void copyString() {
        int end = endOfString();
        copy('"');
        while (mPosition < end) {
            char next = mText.charAt(mPosition);
            if (next == '\\' && isSurrogateEscape(mPosition, end)) {
                copySurrogateEscape(end);
            } else if (next == '\\' && mPosition + 1 < end) {
                copy(next);
                copy(mText.charAt(mPosition));
            } else {
                copy(next);
            }
        }
    }

    /** Copies a pair of escaped surrogates; replaces a single one, which is no character. */
    private void copySurrogateEscape(int end) {
        int second = mPosition + ESCAPE_LENGTH;
        boolean isPair =
                Character.isHighSurrogate(escaped(mPosition))
                        && isSurrogateEscape(second, end)
                        && Character.isLowSurrogate(escaped(second));
        if (isPair) {
            mResult.append(mText, mPosition, second + ESCAPE_LENGTH);
            mPosition = second + ESCAPE_LENGTH;
        } else {
            mResult.append(REPLACEMENT);
            mPosition = second;
        }
    }

    private boolean isSurrogateEscape(int position, int end) {
        return position + ESCAPE_LENGTH <= end
                && mText.startsWith("\\u", position)
                && mText.substring(position + 2, position + ESCAPE_LENGTH)
                        .matches("[dD][89a-fA-F][0-9a-fA-F]{2}");
    }

    private char escaped(int position) {
        return (char) Integer.parseInt(mText, position + 2, position + ESCAPE_LENGTH, 16);
    }

    private void copyNumber() {
        int end = mPosition;
        while (end < mText.length() && "+-.eE0123456789".indexOf(mText.charAt(end)) >= 0) {
            end++;
        }
        if (end - mPosition > MAX_NUMBER_LENGTH) {
            mResult.append("null");
        } else {
            mResult.append(mText, mPosition, end);
        }
        mPosition = end;
    }
}
