package org.sesamedeck.routing.quarantine;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/** The end of an endpoint while it had an unanswered call with a certain prompt part. */
final class EndpointEnd {
    /** An endpoint takes seconds to start again, so a later end under its name is another one. */
    private static final Duration MIN_LIFE = Duration.ofMillis(1_500);

    /** More reporters tell nothing new. */
    private static final int MAX_REPORTERS = 4;

    private final String mEndpoint;
    private final long mAtNanos;
    private final Set<String> mReporters = new LinkedHashSet<>(2);
    private boolean mIsOwn;

    private EndpointEnd(String endpoint, long atNanos) {
        mEndpoint = endpoint;
        mAtNanos = atNanos;
    }

    /** Returns the end that a report of an interrupted call tells of. */
    static EndpointEnd of(PartReport report) {
        return new EndpointEnd(report.endpoint(), report.atNanos());
    }

    String endpoint() {
        return mEndpoint;
    }

    long atNanos() {
        return mAtNanos;
    }

    Set<String> reporters() {
        return mReporters;
    }

    /** Returns whether this process saw the end itself. */
    boolean isOwn() {
        return mIsOwn;
    }

    /** Returns whether the report tells of this end. */
    boolean isSameAs(PartReport report) {
        return mEndpoint.equals(report.endpoint())
                && Math.abs(mAtNanos - report.atNanos()) < MIN_LIFE.toNanos();
    }

    /** Adds who saw the end, and returns whether that is news. */
    boolean addReporter(String reporter, boolean isOwn) {
        mIsOwn |= isOwn;
        return mReporters.size() < MAX_REPORTERS && mReporters.add(reporter);
    }
}
