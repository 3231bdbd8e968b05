package org.sesamedeck.request;

import java.util.ArrayList;
import java.util.List;

/** The decisions on one request in order, kept until it ends. */
public final class RequestTrace {
    /** Bounds the memory of a request that is retried until its deadline. */
    private static final int MAX_ENTRIES = 48;

    private final String mIdentifier;
    private final String mRoute;
    private final List<LogEntry> mEntries = new ArrayList<>(8);
    private RequestOutcome mOutcome = RequestOutcome.REFUSED;
    private long mFirstByteNanos;
    private long mTotalNanos;

    private RequestTrace(String identifier, String route) {
        mIdentifier = identifier;
        mRoute = route;
    }

    /**
     * Returns an empty trace.
     *
     * @param route name of the route; empty when none matched
     */
    public static RequestTrace of(String identifier, String route) {
        return new RequestTrace(identifier, route);
    }

    /** Adds a decision; once there are 48 decisions, the last one is replaced. */
    public LogEntry add(Decision decision, long atNanos) {
        LogEntry entry = LogEntry.of(decision, atNanos);
        if (mEntries.size() >= MAX_ENTRIES) {
            mEntries.remove(mEntries.size() - 1);
        }
        mEntries.add(entry);
        return entry;
    }

    /** Sets the outcome, with the times since the request's arrival in nanoseconds. */
    public void end(RequestOutcome outcome, long firstByteNanos, long totalNanos) {
        mOutcome = outcome;
        mFirstByteNanos = firstByteNanos;
        mTotalNanos = totalNanos;
    }

    /** Returns the identifier of the request. */
    public String identifier() {
        return mIdentifier;
    }

    /** Returns the name of the route; empty when none matched. */
    public String route() {
        return mRoute;
    }

    public List<LogEntry> entries() {
        return mEntries;
    }

    public RequestOutcome outcome() {
        return mOutcome;
    }

    /** Returns the time from arrival to the first byte of the response, in nanoseconds. */
    public long firstByteNanos() {
        return mFirstByteNanos;
    }

    /** Returns the time from arrival to the end, in nanoseconds. */
    public long totalNanos() {
        return mTotalNanos;
    }
}
