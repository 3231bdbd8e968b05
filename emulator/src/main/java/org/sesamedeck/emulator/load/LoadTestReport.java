package org.sesamedeck.emulator.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.emulator.http.Json;

/** Results of a load test. Thread-safe. */
public final class LoadTestReport {
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadSettings mSettings;
    private final KindTotals mAll = new KindTotals();
    private final Map<LoadTestRequestKind, KindTotals> mTotalsByKind =
            new EnumMap<>(LoadTestRequestKind.class);
    private final Map<String, Long> mRefusals = new TreeMap<>();
    private final Map<String, Long> mUnsuccessfulRequests = new TreeMap<>();
    private long mUnsent;
    private long mPermanentlyRefused;

    private LoadTestReport(LoadSettings settings) {
        mSettings = settings;
    }

    static LoadTestReport of(LoadSettings settings) {
        return new LoadTestReport(settings);
    }

    synchronized void add(LoadTestRequestOutcome outcome) {
        boolean isWithinGoals = isWithinGoals(outcome);
        mAll.add(outcome, isWithinGoals);
        mTotalsByKind
                .computeIfAbsent(outcome.kind(), kind -> new KindTotals())
                .add(outcome, isWithinGoals);
        outcome.refusals().forEach(name -> mRefusals.merge(name, 1L, Long::sum));
        if (isPermanentlyRefused(outcome)) {
            mPermanentlyRefused++;
        }
        if (outcome.result() != LoadTestRequestOutcome.Result.WHOLE) {
            mUnsuccessfulRequests.merge(
                    outcome.kind() + " " + outcome.result() + " " + outcome.detail(),
                    1L,
                    Long::sum);
        }
    }

    synchronized void addUnsent() {
        mUnsent++;
    }

    private static boolean isPermanentlyRefused(LoadTestRequestOutcome outcome) {
        return outcome.result() == LoadTestRequestOutcome.Result.REFUSED
                && Arrays.stream(ResultCode.values())
                        .anyMatch(
                                code ->
                                        code.name().equals(outcome.detail())
                                                && !code.isRetryable());
    }

    private boolean isWithinGoals(LoadTestRequestOutcome outcome) {
        if (outcome.result() != LoadTestRequestOutcome.Result.WHOLE) {
            return false;
        }
        // Plain services have no latency goal.
        if (outcome.kind() == LoadTestRequestKind.SERVICE) {
            return true;
        }
        List<Long> intervals = outcome.tokenIntervalMicros();
        double mean = intervals.stream().mapToLong(Long::longValue).average().orElse(0);
        return outcome.firstTokenMicros() <= mSettings.firstTokenGoal().toNanos() / 1000
                && mean <= mSettings.tokenIntervalGoal().toNanos() / 1000.0;
    }

    private double seconds() {
        return Math.max(Duration.ofMillis(1).toNanos(), mSettings.duration().toNanos())
                / NANOS_PER_SECOND;
    }

    /** Returns the number of requests that have ended. */
    public synchronized long requests() {
        return mAll.requests();
    }

    /** Returns the number of requests that got their full response exactly once. */
    public synchronized long fullResponses() {
        return mAll.count(LoadTestRequestOutcome.Result.WHOLE);
    }

    /** Returns the number of requests whose final result was a refusal. */
    public synchronized long refusedRequests() {
        return mAll.count(LoadTestRequestOutcome.Result.REFUSED);
    }

    /**
     * Returns the number of requests refused with a code that forbids a retry. Every planned
     * request is valid and entitled, so each such refusal is a fault of the system or of its
     * configuration lists.
     */
    public synchronized long permanentlyRefusedRequests() {
        return mPermanentlyRefused;
    }

    /** Returns the number of wrong, incomplete and unknown outcomes. */
    public synchronized long faultyResponses() {
        return mAll.count(LoadTestRequestOutcome.Result.WRONG)
                + mAll.count(LoadTestRequestOutcome.Result.INCOMPLETE)
                + mAll.count(LoadTestRequestOutcome.Result.UNKNOWN);
    }

    /** Returns the number of full responses within the latency goals. */
    public synchronized long withinGoals() {
        return mAll.withinGoals();
    }

    /** Returns the full responses within the latency goals, per second of the run. */
    public synchronized double goodputPerSecond() {
        return mAll.withinGoals() / seconds();
    }

    /** Returns the refusals by name, including those before a successful retry. */
    public synchronized Map<String, Long> refusals() {
        return Map.copyOf(mRefusals);
    }

    /** Returns the requests without a full response, by kind, result and detail. */
    public synchronized Map<String, Long> unsuccessfulRequests() {
        return Map.copyOf(mUnsuccessfulRequests);
    }

    /** Returns the report as JSON. */
    public synchronized ObjectNode toJson() {
        ObjectNode json = Json.object();
        json.put("refusedForGood", mPermanentlyRefused);
        json.put("seconds", seconds()).put("seed", mSettings.seed()).put("unsent", mUnsent);
        json.set("all", mAll.toJson(seconds()));
        ObjectNode kinds = json.putObject("kinds");
        mTotalsByKind.forEach((kind, totals) -> kinds.set(kind.name(), totals.toJson(seconds())));
        ObjectNode refusals = json.putObject("refusals");
        mRefusals.forEach(refusals::put);
        ObjectNode unsuccessful = json.putObject("notWhole");
        mUnsuccessfulRequests.forEach(unsuccessful::put);
        return json;
    }

    /** Returns the report as a human-readable table. */
    public synchronized String toTable() {
        StringBuilder table = new StringBuilder();
        table.append(
                String.format(
                        "%-9s %8s %8s %8s %6s %10s %8s %8s  %-24s %-24s%n",
                        "kind",
                        "requests",
                        "whole",
                        "refused",
                        "wrong",
                        "incomplete",
                        "unknown",
                        "goodput",
                        "first token ms 50/95/99",
                        "token ms 50/95/99"));
        mTotalsByKind.forEach((kind, totals) -> table.append(row(kind.name(), totals)));
        table.append(row("all", mAll));
        table.append("HTTP attempts ").append(mAll.attempts());
        table.append(", not sent ").append(mUnsent).append(System.lineSeparator());
        table.append("refusals by code ").append(mRefusals).append(System.lineSeparator());
        if (!mUnsuccessfulRequests.isEmpty()) {
            table.append("not whole ").append(mUnsuccessfulRequests).append(System.lineSeparator());
        }
        return table.toString();
    }

    private String row(String name, KindTotals totals) {
        return String.format(
                Locale.ROOT,
                "%-9s %8d %8d %8d %6d %10d %8d %8.2f  %-24s %-24s%n",
                name,
                totals.requests(),
                totals.count(LoadTestRequestOutcome.Result.WHOLE),
                totals.count(LoadTestRequestOutcome.Result.REFUSED),
                totals.count(LoadTestRequestOutcome.Result.WRONG),
                totals.count(LoadTestRequestOutcome.Result.INCOMPLETE),
                totals.count(LoadTestRequestOutcome.Result.UNKNOWN),
                totals.withinGoals() / seconds(),
                String.format(
                        Locale.ROOT,
                        "%.0f/%.0f/%.0f",
                        totals.firstTokenMillis(50),
                        totals.firstTokenMillis(95),
                        totals.firstTokenMillis(99)),
                String.format(
                        Locale.ROOT,
                        "%.1f/%.1f/%.1f",
                        totals.tokenIntervalMillis(50),
                        totals.tokenIntervalMillis(95),
                        totals.tokenIntervalMillis(99)));
    }
}
