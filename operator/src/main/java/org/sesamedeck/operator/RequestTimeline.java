package org.sesamedeck.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The logged decisions on one request in time order, and the outcome that they show. */
final class RequestTimeline {
    private static final Set<String> END_EVENTS =
            Set.of("ANSWERED", "REFUSED", "FAILED", "BROKEN_OFF", "CALLER_LEFT");

    private final List<LoggedDecision> mDecisions;

    private RequestTimeline(List<LoggedDecision> decisions) {
        mDecisions = decisions;
    }

    /** Returns the timeline of the given decisions, which may be in any order. */
    static RequestTimeline of(List<LoggedDecision> decisions) {
        return new RequestTimeline(
                decisions.stream().sorted(Comparator.comparing(LoggedDecision::time)).toList());
    }

    List<LoggedDecision> decisions() {
        return mDecisions;
    }

    /** Returns the outcome of the request and its cause in one sentence. */
    String describeOutcome() {
        if (mDecisions.isEmpty()) {
            return "No log line of this request: it was served on time and not sampled, its process"
                    + " was killed, or the log of its process is missing.";
        }
        Optional<LoggedDecision> end =
                mDecisions.stream()
                        .filter(decision -> END_EVENTS.contains(decision.event()))
                        .reduce((first, second) -> second);
        if (end.isEmpty()) {
            return "The log does not show the outcome: lines were dropped or the log is truncated.";
        }
        return switch (end.get().event()) {
            case "ANSWERED" -> describeResponse(end.get());
            case "REFUSED" -> describeRefusal(end.get());
            case "CALLER_LEFT" ->
                    "The caller disconnected before the end of the response" + lastFailure();
            case "BROKEN_OFF" ->
                    "The stream was interrupted: " + text(end.get(), "cause") + lastFailure();
            default ->
                    "Failed with "
                            + text(end.get(), "code")
                            + ": "
                            + text(end.get(), "cause")
                            + lastFailure();
        };
    }

    private String describeResponse(LoggedDecision end) {
        boolean waited = has("WAITING");
        boolean repeated = has("RETRIED") || has("RESUMED");
        return "Responded with status "
                + text(end, "status")
                + ", first byte after "
                + text(end, "firstByteMillis")
                + " ms"
                + (waited ? ", after waiting for engine capacity" : "")
                + (repeated ? ", after another endpoint failed" : "")
                + lastFailure();
    }

    private String describeRefusal(LoggedDecision end) {
        String reason =
                has("WAITING")
                        ? "the engines had no capacity for another response at the required token"
                                + " interval"
                        : text(end, "cause");
        return "Refused with " + text(end, "code") + ": " + reason + lastFailure();
    }

    private String lastFailure() {
        return mDecisions.stream()
                .filter(
                        decision ->
                                Set.of("BROKEN", "REJECTED", "NOT_SENT", "FAILURE_ANSWERED")
                                        .contains(decision.event()))
                .reduce((first, second) -> second)
                .map(
                        decision ->
                                "; endpoint "
                                        + text(decision, "endpoint")
                                        + " before that: "
                                        + decision.event()
                                        + " "
                                        + text(decision, "cause")
                                        + text(decision, "status")
                                        + ".")
                .orElse(".");
    }

    private boolean has(String event) {
        return mDecisions.stream().anyMatch(decision -> decision.event().equals(event));
    }

    private static String text(LoggedDecision decision, String field) {
        return decision.line().path(field).asText("");
    }
}
