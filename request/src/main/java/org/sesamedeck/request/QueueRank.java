package org.sesamedeck.request;

import java.util.Comparator;

/**
 * Rank of a request where requests wait, here or at an engine: by urgency, and within the same
 * urgency most requests of accounts that have lately used far more than an equal share come after
 * the others. An account that is alone meets no others, and may use everything.
 *
 * @param priority priority of the account, or else of the route; 0 is the most urgent
 * @param isSetBack whether the request comes after those of other accounts
 */
record QueueRank(int priority, boolean isSetBack) implements Comparable<QueueRank> {
    private static final Comparator<QueueRank> ORDER =
            Comparator.comparingInt(QueueRank::priority).thenComparing(QueueRank::isSetBack);

    @Override
    public int compareTo(QueueRank other) {
        return ORDER.compare(this, other);
    }
}
