package org.sesamedeck.emulator.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.sesamedeck.emulator.http.Json;

/** Totals of one kind of request or of all kinds. Guarded by the lock of the report. */
final class KindTotals {
    private static final long MAX_MICROS = 600_000_000L;
    private static final double MICROS_PER_MILLI = 1000.0;

    private final Histogram mFirstTokenMicros = new Histogram(MAX_MICROS, 3);
    private final Histogram mTokenIntervalMicros = new Histogram(MAX_MICROS, 3);
    private final Map<LoadTestRequestOutcome.Result, Long> mResults = new TreeMap<>();
    private long mRequests;
    private long mAttempts;
    private long mWithinGoals;

    KindTotals() {}

    void add(LoadTestRequestOutcome outcome, boolean isWithinGoals) {
        mRequests++;
        mAttempts += outcome.attempts();
        mResults.merge(outcome.result(), 1L, Long::sum);
        if (isWithinGoals) {
            mWithinGoals++;
        }
        if (outcome.firstTokenMicros() >= 0) {
            mFirstTokenMicros.recordValue(Math.min(outcome.firstTokenMicros(), MAX_MICROS));
        }
        for (long micros : outcome.tokenIntervalMicros()) {
            mTokenIntervalMicros.recordValue(Math.min(micros, MAX_MICROS));
        }
    }

    long requests() {
        return mRequests;
    }

    long attempts() {
        return mAttempts;
    }

    long withinGoals() {
        return mWithinGoals;
    }

    long count(LoadTestRequestOutcome.Result result) {
        return mResults.getOrDefault(result, 0L);
    }

    double firstTokenMillis(double percentile) {
        return mFirstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    double tokenIntervalMillis(double percentile) {
        return mTokenIntervalMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    ObjectNode toJson(double seconds) {
        ObjectNode json =
                Json.object()
                        .put("requests", mRequests)
                        .put("attempts", mAttempts)
                        .put("whole", count(LoadTestRequestOutcome.Result.WHOLE))
                        .put("refused", count(LoadTestRequestOutcome.Result.REFUSED))
                        .put("wrong", count(LoadTestRequestOutcome.Result.WRONG))
                        .put("incomplete", count(LoadTestRequestOutcome.Result.INCOMPLETE))
                        .put("outcomeUnknown", count(LoadTestRequestOutcome.Result.UNKNOWN))
                        .put("withinGoals", mWithinGoals)
                        .put("goodputPerSecond", mWithinGoals / seconds);
        ObjectNode first = json.putObject("firstTokenMillis");
        ObjectNode token = json.putObject("tokenIntervalMillis");
        for (double percentile : new double[] {50, 95, 99}) {
            String name = "p" + (int) percentile;
            first.put(name, firstTokenMillis(percentile));
            token.put(name, tokenIntervalMillis(percentile));
        }
        return json;
    }
}
