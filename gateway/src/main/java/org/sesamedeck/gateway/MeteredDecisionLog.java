package org.sesamedeck.gateway;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.RequestOutcome;
import org.sesamedeck.request.RequestTrace;

/**
 * Counts decisions and request outcomes, measures latencies and forwards everything to another log.
 */
public final class MeteredDecisionLog implements DecisionLog {
    private static final long MAX_MILLIS = TimeUnit.MINUTES.toMillis(10);
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};

    private final DecisionLog mLog;
    private final Map<Decision, Long> mDecisions = new EnumMap<>(Decision.class);
    private final Map<RequestOutcome, Long> mOutcomes = new EnumMap<>(RequestOutcome.class);
    private final Map<Object, Long> mRefusals = new TreeMap<>();
    private final Map<Object, Long> mStarts = new TreeMap<>();
    private final Histogram mTimeToFirstByte = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final Histogram mTotalTime = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

    private MeteredDecisionLog(DecisionLog log) {
        mLog = log;
    }

    /** Returns a metered log that forwards to the given one. */
    public static MeteredDecisionLog over(DecisionLog log) {
        return new MeteredDecisionLog(log);
    }

    @Override
    public synchronized void record(LogEntry entry) {
        mDecisions.merge(entry.decision(), 1L, Long::sum);
        mLog.record(entry);
    }

    @Override
    public synchronized void requestEnded(RequestTrace trace) {
        trace.entries().forEach(this::count);
        mOutcomes.merge(trace.outcome(), 1L, Long::sum);
        RequestOutcome outcome = trace.outcome();
        if (outcome == RequestOutcome.SERVED || outcome == RequestOutcome.SERVED_LATE) {
            mTimeToFirstByte.recordValue(millis(trace.firstByteNanos()));
            mTotalTime.recordValue(millis(trace.totalNanos()));
        }
        mLog.requestEnded(trace);
    }

    private void count(LogEntry entry) {
        mDecisions.merge(entry.decision(), 1L, Long::sum);
        if (entry.decision() == Decision.REFUSED) {
            countValues(entry, "code", mRefusals);
        } else if (entry.decision() == Decision.ADMITTED) {
            countValues(entry, "start", mStarts);
        }
    }

    private static void countValues(LogEntry entry, String field, Map<Object, Long> counts) {
        entry.fields().stream()
                .filter(each -> each.name().equals(field))
                .forEach(each -> counts.merge(each.value(), 1L, Long::sum));
    }

    private static long millis(long nanos) {
        return Math.max(0, Math.min(MAX_MILLIS, TimeUnit.NANOSECONDS.toMillis(nanos)));
    }

    /** Adds the counters and quantiles in the Prometheus text format. */
    public synchronized void write(MetricsText text) {
        mOutcomes.forEach(
                (outcome, count) ->
                        text.value("sesamedeck_requests_total", "outcome", outcome, count));
        mDecisions.forEach(
                (decision, count) ->
                        text.value("sesamedeck_decisions_total", "event", decision, count));
        mRefusals.forEach(
                (code, count) -> text.value("sesamedeck_refusals_total", "code", code, count));
        mStarts.forEach(
                (start, count) -> text.value("sesamedeck_starts_total", "start", start, count));
        for (double quantile : QUANTILES) {
            text.value(
                    "sesamedeck_first_byte_milliseconds",
                    "quantile",
                    quantile,
                    mTimeToFirstByte.getValueAtPercentile(quantile * 100));
            text.value(
                    "sesamedeck_answer_milliseconds",
                    "quantile",
                    quantile,
                    mTotalTime.getValueAtPercentile(quantile * 100));
        }
    }
}
