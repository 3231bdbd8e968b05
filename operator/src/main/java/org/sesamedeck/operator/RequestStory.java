package org.sesamedeck.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The decisions on one request in order, and what they say about its end. */
final class RequestStory {
    private static final Set<String> ENDS =
            Set.of("ANSWERED", "REFUSED", "FAILED", "BROKEN_OFF", "CALLER_LEFT");

    private final List<LoggedDecision> mDecisions;

    private RequestStory(List<LoggedDecision> decisions) {
        mDecisions = decisions;
    }

    /** Returns the story that these lines tell. */
    static RequestStory of(List<LoggedDecision> decisions) {
        return new RequestStory(
                decisions.stream().sorted(Comparator.comparing(LoggedDecision::time)).toList());
    }

    List<LoggedDecision> decisions() {
        return mDecisions;
    }

    /** Returns the cause of the end in one sentence. */
    String cause() {
        if (mDecisions.isEmpty()) {
            return "No line of this request: it was served on time and not sampled, its process was"
                    + " killed, or the log of its process is missing.";
        }
        Optional<LoggedDecision> end =
                mDecisions.stream()
                        .filter(decision -> ENDS.contains(decision.event()))
                        .reduce((first, second) -> second);
        if (end.isEmpty()) {
            return "The lines do not tell the end; lines were dropped or the log is cut.";
        }
        return switch (end.get().event()) {
            case "ANSWERED" -> answered(end.get());
            case "REFUSED" -> refused(end.get());
            case "CALLER_LEFT" -> "The caller left before the end" + lastFailure();
            case "BROKEN_OFF" ->
                    "The stream was broken off: " + text(end.get(), "cause") + lastFailure();
            default ->
                    "Failed with "
                            + text(end.get(), "code")
                            + ": "
                            + text(end.get(), "cause")
                            + lastFailure();
        };
    }

    private String answered(LoggedDecision end) {
        boolean waited = has("WAITING");
        boolean repeated = has("RETRIED") || has("RESUMED");
        return "Answered with status "
                + text(end, "status")
                + ", first byte after "
                + text(end, "firstByteMillis")
                + " ms"
                + (waited ? ", after waiting for room at the engines" : "")
                + (repeated ? ", after another endpoint failed" : "")
                + lastFailure();
    }

    private String refused(LoggedDecision end) {
        String reason =
                has("WAITING")
                        ? "the engines had no room for another answer at the pace that is asked for"
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
