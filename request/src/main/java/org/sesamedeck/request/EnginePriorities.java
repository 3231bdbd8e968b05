package org.sesamedeck.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides the priority at which engines admit requests. Confined to one thread.
 *
 * <p>Engines process prompts in order of priority and, within a priority, of arrival. Callers wait
 * equally long for all requests of a route, but a long prompt needs much of that time for its own
 * processing. In order of arrival, a burst therefore costs the long prompts of a route their
 * responses and the short ones only some delay. Each route has two priorities here, of which its
 * long prompts get the more urgent one; the order of the routes stays as configured. Requests of
 * client accounts far over their share come after both: a priority of their own would not fit the
 * ten that engines know, so they share that of the long prompts of the next less urgent route.
 */
final class EnginePriorities {
    /** Weight of the latest prompt in the mean length of the prompts of its route. */
    private static final double LEARNING_RATE = 0.05;

    /** Prompts of more than this many times the mean length are long. */
    private static final double LONG_PROMPT_FACTOR = 1.5;

    private static final int PRIORITIES_PER_ROUTE = 2;

    private final Map<String, Double> mMeanPromptTokens = new HashMap<>();

    /** Records the prompt length of a request, in tokens. */
    void record(Route route, long promptTokens) {
        double mean = mMeanPromptTokens.getOrDefault(route.name(), (double) promptTokens);
        mMeanPromptTokens.put(route.name(), mean + LEARNING_RATE * (promptTokens - mean));
    }

    /**
     * Returns the priority of a request at an engine; 0 is the most urgent.
     *
     * @param rank rank of the request where requests wait
     */
    int of(Route route, QueueRank rank, long promptTokens) {
        int mostUrgent = PRIORITIES_PER_ROUTE * Math.max(0, rank.priority());
        if (rank.isSetBack()) {
            return mostUrgent + PRIORITIES_PER_ROUTE;
        }
        double mean = mMeanPromptTokens.getOrDefault(route.name(), (double) promptTokens);
        boolean isLong = promptTokens > mean * LONG_PROMPT_FACTOR;
        return mostUrgent + (isLong ? 0 : 1);
    }
}
