package org.sesamedeck.routing.scaling;

/**
 * The servers of one kind in one failure domain, which are ordered and given back together.
 *
 * @param failureDomain failure domain in which they run
 * @param isReclaimable whether the platform may take them away at short notice
 */
public record ServerPool(String failureDomain, boolean isReclaimable) {}
