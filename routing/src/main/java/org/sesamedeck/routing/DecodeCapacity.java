package org.sesamedeck.routing;

/**
 * Decode capacity of the engines for a target: how many responses they generate, and how many they
 * can generate within the token interval limit.
 *
 * @param inProgress responses in progress, including prompts whose response has not begun
 * @param limit number of responses that the engines can generate within the token interval limit
 */
public record DecodeCapacity(double inProgress, double limit) {
    private static final DecodeCapacity UNLIMITED = new DecodeCapacity(0, Double.POSITIVE_INFINITY);

    /** Returns the capacity where no token interval limit is set. */
    public static DecodeCapacity unlimited() {
        return UNLIMITED;
    }

    /** Returns whether another response can be started. */
    public boolean isAvailable() {
        return inProgress < limit;
    }
}
