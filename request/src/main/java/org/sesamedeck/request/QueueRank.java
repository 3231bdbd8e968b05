package org.sesamedeck.request;

import java.util.Comparator;

/**
 * Rank of a request in a queue: by urgency, and within the same urgency requests of accounts that
 * have lately used far more than an equal share come after the others. An account that is alone
 * meets no others, and may use everything.
 *
 * @param priority priority of the account, or else of the route; 0 is the most urgent
 * @param isOverShare whether the account has lately used far more than an equal share
 */
record QueueRank(int priority, boolean isOverShare) implements Comparable<QueueRank> {
    private static final Comparator<QueueRank> ORDER =
            Comparator.comparingInt(QueueRank::priority).thenComparing(QueueRank::isOverShare);

    @Override
    public int compareTo(QueueRank other) {
        return ORDER.compare(this, other);
    }
}
