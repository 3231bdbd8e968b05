package org.sesamedeck.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how many events the answers of each route have. What callers state is the most that they
 * accept, many times the usual length. Confined to one thread.
 */
final class AnswerLengths {
    private static final double LEARNING_RATE = 0.05;

    /** Between the usual lengths of short and of long answers. */
    private static final double FIRST_EVENTS = 12;

    private final Map<String, Double> mEvents = new HashMap<>();

    /** Takes the number of events of a whole answer. */
    void record(String route, int events) {
        double known = expected(route);
        mEvents.put(route, known + LEARNING_RATE * (events - known));
    }

    /** Returns the mean number of events. */
    double expected(String route) {
        return mEvents.getOrDefault(route, FIRST_EVENTS);
    }
}
