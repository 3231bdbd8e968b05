package org.sesamedeck.platform;

import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Finds the bounds of values in JSON text that a parser refuses, by quotes and brackets alone. It
 * does not decide whether a value can be read. Positions are byte offsets; all bytes that matter
 * are ASCII, which UTF-8 uses for nothing else.
 */
final class JsonTextScanner {
    /**
     * Scans for the end of a value that seems longer than its element; each may run to the end of
     * the text.
     */
    private static final int MAX_LONG_SCANS = 16;

    private final byte[] mText;
    private int mLongScans;

    JsonTextScanner(byte[] text) {
        mText = text;
    }

    byte[] text() {
        return mText;
    }

    byte at(int position) {
        return mText[position];
    }

    /** Returns the position of the first byte that is not white space; the end if there is none. */
    int skipSpace(int from, int to) {
        int position = from;
        while (position < to && isSpace(mText[position])) {
            position++;
        }
        return position;
    }

    /** Returns the end of the range without the white space before it. */
    int trimEnd(int from, int to) {
        int end = to;
        while (end > from && isSpace(mText[end - 1])) {
            end--;
        }
        return end;
    }

    private static boolean isSpace(byte value) {
        return value == ' ' || value == '\t' || value == '\n' || value == '\r';
    }

    /** Returns the position after the value that starts at the position; -1 if it has no end. */
    int endOfValue(int from, int to) {
        if (from >= to) {
            return -1;
        }
        return switch (mText[from]) {
            case '"' -> endOfString(from, to);
            case '{', '[' -> endOfBrackets(from, to);
            default -> endOfToken(from, to);
        };
    }

    private int endOfString(int from, int to) {
        for (int position = from + 1; position < to; position++) {
            if (mText[position] == '\\') {
                position++;
            } else if (mText[position] == '"') {
                return position + 1;
            }
        }
        return -1;
    }

    private int endOfBrackets(int from, int to) {
        int depth = 0;
        int position = from;
        while (position < to) {
            byte next = mText[position];
            if (next == '"') {
                position = endOfString(position, to);
                if (position < 0) {
                    return -1;
                }
                continue;
            }
            position++;
            if (next == '{' || next == '[') {
                depth++;
            } else if ((next == '}' || next == ']') && --depth == 0) {
                return position;
            }
        }
        return -1;
    }

    /** A number, a literal, or bytes that are neither, up to what may follow a value. */
    private int endOfToken(int from, int to) {
        int position = from;
        while (position < to
                && mText[position] != ','
                && mText[position] != '}'
                && mText[position] != ']') {
            position++;
        }
        int end = trimEnd(from, position);
        return end == from ? -1 : end;
    }

    /**
     * Like {@link #endOfValue}, but gives up after some calls, since each may read all the text.
     */
    int endOfLongValue(int from, int to) {
        return ++mLongScans > MAX_LONG_SCANS ? -1 : endOfValue(from, to);
    }

    /**
     * Returns the position after a value that has other values of several writers in it, or -1. An
     * array is the last one of its object and ends with the last closing bracket. An object in an
     * element that has an unreadable value may seem to have no end, and takes the rest.
     */
    int endOfContainer(int from, int to) {
        if (from < to && mText[from] == '[') {
            return endOfLastArray(from, to);
        }
        int end = endOfValue(from, to);
        return end < 0 && from < to ? to : end;
    }

    private int endOfLastArray(int from, int to) {
        int position = to - 1;
        while (position > from && mText[position] != ']') {
            position--;
        }
        return position > from ? position + 1 : -1;
    }

    /** Returns the end of the last element of the array in the range. */
    int endOfElements(int from, int to) {
        boolean isClosed = to - 1 > from && mText[to - 1] == ']';
        return trimEnd(from + 1, isClosed ? to - 1 : to);
    }

    /**
     * Returns the starts of the elements of an array of objects; empty if the first element is no
     * object with a name.
     */
    NavigableSet<Integer> startsOfElements(int from, int to) {
        NavigableSet<Integer> starts = new TreeSet<>();
        int first = skipSpace(from + 1, to);
        int name = first < to && mText[first] == '{' ? skipSpace(first + 1, to) : to;
        int nameEnd = name < to && mText[name] == '"' ? endOfString(name, to) : -1;
        if (nameEnd < 0) {
            return starts;
        }
        starts.add(first);
        int length = nameEnd - first;
        for (int position = nameEnd; position + length <= to; position++) {
            if (mText[position] == '{'
                    && isSame(first, position, length)
                    && commaBefore(position) > first) {
                starts.add(position);
                position += length - 1;
            }
        }
        return starts;
    }

    private boolean isSame(int first, int second, int length) {
        for (int i = 0; i < length; i++) {
            if (mText[first + i] != mText[second + i]) {
                return false;
            }
        }
        return true;
    }

    /** Returns the position of the comma before an element; -1 if something else precedes it. */
    int commaBefore(int start) {
        int position = trimEnd(0, start) - 1;
        return position >= 0 && mText[position] == ',' ? position : -1;
    }
}
