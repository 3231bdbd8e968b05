package org.sesamedeck.platform;

/** Kind of a host in the platform's host list. */
public enum HostKind {
    ENGINE,
    SERVICE,
    NODE
}
