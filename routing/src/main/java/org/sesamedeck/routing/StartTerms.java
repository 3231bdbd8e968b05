package org.sesamedeck.routing;

/**
 * What decides how a request is started.
 *
 * @param urgency priority of the client account, or else of the route; 0 is the most urgent
 * @param account name of the client account; empty for none
 * @param targetNanos target latency of its route, in nanoseconds
 * @param hash mixed hash of what stays the same when a caller repeats the request
 */
public record StartTerms(int urgency, String account, double targetNanos, long hash) {}
