package org.sesamedeck.request;

import java.util.ArrayList;
import java.util.List;

/** One entry of the decision log: a decision and the inputs that determined it. */
public final class LogEntry {
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

    /** Adds a field and returns this entry. */
    public LogEntry with(String name, Object value) {
        mFields.add(new Field(name, value));
        return this;
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
