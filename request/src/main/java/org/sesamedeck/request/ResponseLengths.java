package org.sesamedeck.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the number of events in the responses of each route with a moving average. The output
 * limit that callers state is no estimate: it is many times the usual length. Confined to one
 * thread.
 */
final class ResponseLengths {
    private static final double LEARNING_RATE = 0.05;

    /** Initial estimate, between the usual lengths of short and long responses. */
    private static final double FIRST_EVENTS = 12;

    private final Map<String, Double> mEvents = new HashMap<>();

    /** Records the number of events of a full response. */
    void record(String route, int events) {
        double known = expected(route);
        mEvents.put(route, known + LEARNING_RATE * (events - known));
    }

    /** Returns the expected number of events in a response of the route. */
    double expected(String route) {
        return mEvents.getOrDefault(route, FIRST_EVENTS);
    }
}
