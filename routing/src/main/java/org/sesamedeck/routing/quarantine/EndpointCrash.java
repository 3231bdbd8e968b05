package org.sesamedeck.routing.quarantine;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/** The crash of an endpoint while it had a call with a certain prompt part. */
final class EndpointCrash {
    /** An endpoint takes seconds to start again, so a later crash under its name is another one. */
    private static final Duration MIN_LIFE = Duration.ofMillis(1_500);

    /** More reporters tell nothing new. */
    private static final int MAX_REPORTERS = 4;

    private final String mEndpoint;
    private final long mAtNanos;
    private final Set<String> mReporters = new LinkedHashSet<>(2);
    private boolean mIsOwn;
    private boolean mHadBegun;

    private EndpointCrash(String endpoint, long atNanos, boolean hadBegun) {
        mEndpoint = endpoint;
        mAtNanos = atNanos;
        mHadBegun = hadBegun;
    }

    /** Returns the crash that a report of an interrupted call tells of. */
    static EndpointCrash of(PartReport report) {
        return new EndpointCrash(report.endpoint(), report.atNanos(), hadBegun(report));
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

    private static boolean hadBegun(PartReport report) {
        return report.kind() == PartReport.Kind.ANSWER_INTERRUPTED;
    }

    /** Returns whether all known calls with the part had begun to be answered. */
    boolean hadBegun() {
        return mHadBegun;
    }

    /** Returns whether this process saw the crash itself. */
    boolean isOwn() {
        return mIsOwn;
    }

    /** Returns whether the report tells of this crash. */
    boolean isSameAs(PartReport report) {
        return mEndpoint.equals(report.endpoint())
                && Math.abs(mAtNanos - report.atNanos()) < MIN_LIFE.toNanos();
    }

    /** Adds what a process has seen of this crash, and returns whether that is news. */
    boolean addReport(PartReport report, boolean isOwn) {
        mIsOwn |= isOwn;
        boolean isStronger = mHadBegun && !hadBegun(report);
        mHadBegun &= hadBegun(report);
        boolean isNewReporter =
                mReporters.size() < MAX_REPORTERS && mReporters.add(report.reporter());
        return isNewReporter || isStronger;
    }
}
