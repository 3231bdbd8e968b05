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

    private final ArrayDeque<PrefixPlacement> mUpdates = new ArrayDeque<>();

    synchronized void add(PrefixPlacement update) {
        if (mUpdates.size() >= MAX_UPDATES) {
            mUpdates.pollFirst();
        }
        mUpdates.addLast(update);
    }

    synchronized List<PrefixPlacement> take() {
        List<PrefixPlacement> updates = new ArrayList<>(mUpdates);
        mUpdates.clear();
        return updates;
    }
}
