package org.sesamedeck.routing;

/**
 * The news that an endpoint holds a shared beginning of prompts.
 *
 * @param endpoint name of the endpoint
 * @param hash hash of the last shared block, which stands for all blocks before it
 */
public record PrefixPlacement(String endpoint, long hash) {}
