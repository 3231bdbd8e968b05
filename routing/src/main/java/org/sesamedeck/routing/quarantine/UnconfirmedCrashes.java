package org.sesamedeck.routing.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Crashes that this process has seen and not reported yet. A lost connection looks like the crash
 * of its endpoint until another call that was open at that time gets a response.
 */
final class UnconfirmedCrashes {
    /** Responses that arrive later than this after a loss were sent after it. */
    private static final Duration TRANSIT_MARGIN = Duration.ofMillis(20);

    /** Time in which an endpoint that lives responds to another call. */
    private static final Duration REFUTATION_TIME = Duration.ofMillis(250);

    private final List<PartReport> mReports = new ArrayList<>();

    boolean isEmpty() {
        return mReports.isEmpty();
    }

    void add(PartReport report) {
        mReports.add(report);
    }

    /** Removes and returns the crashes that a response now to a call of the given age refutes. */
    List<PartReport> takeRefuted(String endpoint, long callSentAtNanos, long nowNanos) {
        return take(
                report ->
                        report.endpoint().equals(endpoint)
                                && report.atNanos() - callSentAtNanos > 0
                                && nowNanos - report.atNanos() > TRANSIT_MARGIN.toNanos());
    }

    /** Removes and returns the crashes that no response has refuted in time. */
    List<PartReport> takeConfirmed(long nowNanos) {
        return take(report -> nowNanos - report.atNanos() >= REFUTATION_TIME.toNanos());
    }

    private List<PartReport> take(Predicate<PartReport> condition) {
        List<PartReport> taken = mReports.stream().filter(condition).toList();
        mReports.removeAll(taken);
        return taken;
    }
}
