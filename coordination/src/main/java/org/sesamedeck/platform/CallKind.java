package org.sesamedeck.platform;

/** Kinds of calls to the platform, for the call counter. */
public enum CallKind {
    GET,
    LIST,
    CREATE,
    UPDATE,
    DELETE,
    WATCH,
    HOSTS
}
