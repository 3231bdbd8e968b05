package org.sesamedeck.core;

import java.util.Set;

/**
 * The models, services and regions that the client accounts of a plan may use.
 *
 * @param plan name of the plan
 * @param models names of models
 * @param services names of plain services
 * @param regions names of regions whose endpoints may serve the plan; empty means all
 */
public record Entitlement(
        String plan, Set<String> models, Set<String> services, Set<String> regions) {
    /** Returns whether endpoints of the region may serve the plan. */
    public boolean allowsRegion(String region) {
        return regions.isEmpty() || regions.contains(region);
    }
}
