package org.sesamedeck.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Placements of shared prompt beginnings that peers have not been told. Thread-safe, bounded. */
final class PlacementNews {
    /** More than a process places between two messages; the oldest are dropped. */
    private static final int MAX_PLACEMENTS = 64;

    private final ArrayDeque<PrefixPlacement> mPlacements = new ArrayDeque<>();

    synchronized void add(PrefixPlacement placement) {
        if (mPlacements.size() >= MAX_PLACEMENTS) {
            mPlacements.pollFirst();
        }
        mPlacements.addLast(placement);
    }

    synchronized List<PrefixPlacement> take() {
        List<PrefixPlacement> placements = new ArrayList<>(mPlacements);
        mPlacements.clear();
        return placements;
    }
}
