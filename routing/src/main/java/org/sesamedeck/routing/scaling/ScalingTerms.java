package org.sesamedeck.routing.scaling;

import java.time.Duration;
import java.util.Map;

/**
 * The terms under which servers of a service can be ordered from the platform and given back.
 *
 * @param minimum least number of servers in each failure domain, of both kinds together
 * @param maximum greatest number of servers in each failure domain, of both kinds together
 * @param startTime time from an order until a new server serves
 * @param reclaimablePrice price of a server that may be reclaimed, relative to one that may not; 1
 *     where the platform offers no such servers
 * @param domainPrices price of a server for a second, by failure domain
 * @param concurrency requests that one server processes at once
 */
public record ScalingTerms(
        int minimum,
        int maximum,
        Duration startTime,
        double reclaimablePrice,
        Map<String, Double> domainPrices,
        int concurrency) {
    /** Returns whether servers that may be reclaimed cost less than the others. */
    public boolean offersReclaimable() {
        return reclaimablePrice < 1;
    }

    /** Returns the price of a server for a second. */
    public double price(ServerPool pool) {
        double price = domainPrices.getOrDefault(pool.failureDomain(), 1.0);
        return pool.isReclaimable() ? price * reclaimablePrice : price;
    }
}
