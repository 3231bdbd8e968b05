package org.sesamedeck.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Updates on shared prompt prefixes that have not been sent to peers. Thread-safe, bounded. */
final class PrefixUpdateBuffer {
    /**
     * More updates than a process makes between two messages; beyond it, the oldest are dropped.
     */
    private static final int MAX_UPDATES = 64;

    private final ArrayDeque<PrefixUpdate> mUpdates = new ArrayDeque<>();

    synchronized void add(PrefixUpdate update) {
        if (mUpdates.size() >= MAX_UPDATES) {
            mUpdates.pollFirst();
        }
        mUpdates.addLast(update);
    }

    synchronized List<PrefixUpdate> take() {
        List<PrefixUpdate> updates = new ArrayList<>(mUpdates);
        mUpdates.clear();
        return updates;
    }
}
