package org.sesamedeck.routing.locality;

import java.util.List;

/**
 * Level at which the wait of a failure domain and those of its neighbors would meet if work moved
 * from it to them. A neighbor counts with its wait and the cost of the way there, so that a near
 * one fills up to that cost before a far one takes anything.
 */
final class WaterLevel {
    private WaterLevel() {}

    /**
     * Wait in a failure domain.
     *
     * @param endpoints number of its endpoints
     * @param levelNanos wait there plus the cost of the way, in nanoseconds
     */
    record Basin(int endpoints, double levelNanos) {}

    /**
     * Returns the level at which the work above it at home fills the neighbors up to it; the wait
     * at home if no neighbor is lower.
     *
     * @param neighbors neighbors by rising level
     */
    static double of(Basin home, List<Basin> neighbors) {
        double work = home.levelNanos() * home.endpoints();
        double endpoints = home.endpoints();
        double level = home.levelNanos();
        for (Basin neighbor : neighbors) {
            if (neighbor.levelNanos() >= level) {
                break;
            }
            work += neighbor.levelNanos() * neighbor.endpoints();
            endpoints += neighbor.endpoints();
            level = work / endpoints;
        }
        return level;
    }
}
