package org.sesamedeck.request;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Learns how many events the answers of each route have. The limit that callers state is many times
 * the usual length. Some callers also state what they expect, in tokens: right at the median, but
 * often far off, so it is weighed against the usual length of the route. How many events such a
 * token stands for is learned too. Confined to one thread.
 */
final class AnswerLengths {
    private static final double LEARNING_RATE = 0.05;

    /** Between the usual lengths of short and of long answers. */
    private static final double FIRST_EVENTS = 12;

    /** Weight of the caller's expectation; the rest is the route's usual length. */
    private static final double EXPECTATION_WEIGHT = 0.65;

    private final Map<String, RouteLengths> mRoutes = new HashMap<>();

    /** What is known of one route. */
    private static final class RouteLengths {
        private double mEvents = FIRST_EVENTS;
        private double mHintedEvents;
        private double mHintedTokens;
    }

    /** Takes the number of events of a whole answer and what its caller had expected. */
    void record(String route, int events, OptionalInt expectedTokens) {
        RouteLengths lengths = mRoutes.computeIfAbsent(route, name -> new RouteLengths());
        lengths.mEvents += LEARNING_RATE * (events - lengths.mEvents);
        if (expectedTokens.isPresent() && expectedTokens.getAsInt() > 0) {
            lengths.mHintedEvents += LEARNING_RATE * (events - lengths.mHintedEvents);
            lengths.mHintedTokens +=
                    LEARNING_RATE * (expectedTokens.getAsInt() - lengths.mHintedTokens);
        }
    }

    /** Estimates the number of events of an answer. */
    double expected(String route, OptionalInt expectedTokens) {
        RouteLengths lengths = mRoutes.get(route);
        if (lengths == null) {
            return FIRST_EVENTS;
        }
        if (expectedTokens.isEmpty()
                || expectedTokens.getAsInt() <= 0
                || lengths.mHintedTokens <= 0) {
            return lengths.mEvents;
        }
        double eventsPerToken = lengths.mHintedEvents / lengths.mHintedTokens;
        double hinted = Math.max(1, expectedTokens.getAsInt() * eventsPerToken);
        return Math.pow(hinted, EXPECTATION_WEIGHT)
                * Math.pow(Math.max(1, lengths.mEvents), 1 - EXPECTATION_WEIGHT);
    }
}
