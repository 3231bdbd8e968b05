package org.sesamedeck.routing;

/**
 * How many answers the engines for a target produce and can produce at the pace that is asked for.
 *
 * @param inProgress answers in progress, and prompts that become answers soon
 * @param limit answers that the engines can produce in time
 */
public record AnswerRoom(double inProgress, double limit) {
    private static final AnswerRoom UNLIMITED = new AnswerRoom(0, Double.POSITIVE_INFINITY);

    /** Returns the room where no pace is asked for. */
    public static AnswerRoom unlimited() {
        return UNLIMITED;
    }

    /** Returns whether another answer can be started. */
    public boolean isLeft() {
        return inProgress < limit;
    }
}
