package org.sesamedeck.request;

import java.util.ArrayList;
import java.util.List;

/** One entry of the decision log: a decision and the inputs that determined it. */
public final class LogEntry {
    private static final int MAX_TEXT_LENGTH = 1_024;

    private final Decision mDecision;
    private final long mAtNanos;
    private final List<Field> mFields = new ArrayList<>(6);

    /**
     * An input or an outcome.
     *
     * @param name documented name, with its unit where it has one
     * @param value a number, a boolean, or a value that is logged as its string
     */
    public record Field(String name, Object value) {}

    private LogEntry(Decision decision, long atNanos) {
        mDecision = decision;
        mAtNanos = atNanos;
    }

    /**
     * Returns an entry without fields.
     *
     * @param atNanos monotonic time of the decision, in nanoseconds
     */
    public static LogEntry of(Decision decision, long atNanos) {
        return new LogEntry(decision, atNanos);
    }

    /** Adds a field and returns this entry; a long text is cut. */
    public LogEntry with(String name, Object value) {
        boolean isLong = value instanceof String text && text.length() > MAX_TEXT_LENGTH;
        mFields.add(new Field(name, isLong ? shorten((String) value, MAX_TEXT_LENGTH) : value));
        return this;
    }

    /**
     * Returns at most the given number of characters of a text. Callers determine some texts, and
     * thousands of lines with such texts may wait to be written.
     */
    public static String shorten(String text, int length) {
        return text.length() <= length ? text : text.substring(0, length);
    }

    public Decision decision() {
        return mDecision;
    }

    /** Returns the monotonic time of the decision, in nanoseconds. */
    public long atNanos() {
        return mAtNanos;
    }

    /** Returns the fields in the order in which they were added. */
    public List<Field> fields() {
        return mFields;
    }
}
