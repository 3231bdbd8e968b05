package org.sesamedeck.platform;

/** Kind of a host in the platform's host list. */
public enum HostKind {
    /** Endpoint of a model service. */
    ENGINE,
    /** Endpoint of a plain service. */
    SERVICE,
    /** Node, listed with the address of its control process. */
    NODE
}
