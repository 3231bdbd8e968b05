package org.sesamedeck.request;

import java.time.Duration;
import java.util.Map;

/**
 * The terms under which servers of a service can be ordered from the platform and given back.
 *
 * @param minimum least number of servers in each failure domain, of both kinds together
 * @param maximum greatest number of servers in each failure domain, of both kinds together
 * @param startTime time from an order until a new server serves
 * @param reclaimablePrice price of a server that may be reclaimed, relative to one that may not
 * @param domainPrices price of a server for a second, by failure domain
 */
public record ScalingTerms(
        int minimum,
        int maximum,
        Duration startTime,
        double reclaimablePrice,
        Map<String, Double> domainPrices) {}
