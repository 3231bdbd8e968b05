package org.sesamedeck.request;

/**
 * The configuration of a service.
 *
 * @param name name of the service
 * @param isEngine whether its endpoints are model engines
 * @param maxConnections connections that one endpoint accepts from all callers together
 */
public record ServiceDescription(String name, boolean isEngine, int maxConnections) {}
