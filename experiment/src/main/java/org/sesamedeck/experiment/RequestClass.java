package org.sesamedeck.experiment;

import java.util.random.RandomGenerator;

/**
 * A class of requests whose lengths are distributed uniformly between the bounds, inclusive.
 *
 * @param name descriptive name
 * @param minPromptTokens minimum number of prompt tokens
 * @param maxPromptTokens maximum number of prompt tokens
 * @param minOutputTokens minimum number of output tokens
 * @param maxOutputTokens maximum number of output tokens
 */
record RequestClass(
        String name,
        int minPromptTokens,
        int maxPromptTokens,
        int minOutputTokens,
        int maxOutputTokens) {
    int drawPromptTokens(RandomGenerator random) {
        return random.nextInt(minPromptTokens, maxPromptTokens + 1);
    }

    int drawOutputTokens(RandomGenerator random) {
        return random.nextInt(minOutputTokens, maxOutputTokens + 1);
    }

    double meanPromptTokens() {
        return (minPromptTokens + maxPromptTokens) / 2.0;
    }

    double meanOutputTokens() {
        return (minOutputTokens + maxOutputTokens) / 2.0;
    }
}
