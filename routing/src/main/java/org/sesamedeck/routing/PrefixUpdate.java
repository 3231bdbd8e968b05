package org.sesamedeck.routing;

/**
 * Prefix update: an endpoint holds a shared prompt prefix.
 *
 * @param endpoint name of the endpoint
 * @param hash hash of the last shared block, which identifies all blocks before it too
 */
public record PrefixUpdate(String endpoint, long hash) {}
