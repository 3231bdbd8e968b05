package org.sesamedeck.routing;

/** Phases that an engine serves. Plain services are always {@link #MIXED}. */
public enum EndpointRole {
    PREFILL,
    DECODE,
    MIXED
}
