package org.sesamedeck.routing.scaling;

import java.util.List;

/**
 * What the planner decided for one service, and from which figures.
 *
 * @param need servers that are needed
 * @param serving servers that stay and serve
 * @param expected servers after all orders so far have been carried out
 * @param orders counts to order, growth first
 */
public record ServerPlan(ServerNeed need, int serving, int expected, List<PoolOrder> orders) {
    /**
     * A count to order.
     *
     * @param pool pool that it concerns
     * @param present servers that the pool has now
     * @param count servers that the pool shall have
     */
    public record PoolOrder(ServerPool pool, int present, int count) {}
}
