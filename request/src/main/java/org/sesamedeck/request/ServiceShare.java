package org.sesamedeck.request;

/**
 * A service and its weight in a route's traffic split.
 *
 * @param service name of the service
 * @param weight part of the route's requests that it receives, relative to the other weights
 */
public record ServiceShare(String service, int weight) {}
