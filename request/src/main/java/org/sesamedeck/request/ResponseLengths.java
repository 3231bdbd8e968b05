package org.sesamedeck.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the number of events in the streams of each route with a moving average. The router
 * takes it as the number of output tokens, since an event carries about one token. The output limit
 * that callers state is no estimate: it is many times the usual length. Confined to one thread.
 */
final class ResponseLengths {
    private static final double LEARNING_RATE = 0.05;

    /** Initial estimate, between the usual lengths of short and long responses. */
    private static final double INITIAL_EVENTS = 12;

    private final Map<String, Double> mEvents = new HashMap<>();

    /** Records the number of events of a complete stream. */
    void record(String route, int events) {
        double known = expected(route);
        mEvents.put(route, known + LEARNING_RATE * (events - known));
    }

    /** Returns the expected number of events in a stream of the route. */
    double expected(String route) {
        return mEvents.getOrDefault(route, INITIAL_EVENTS);
    }
}
