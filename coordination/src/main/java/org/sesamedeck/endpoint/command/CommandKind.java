package org.sesamedeck.endpoint.command;

/** Kind of a command to an engine. Commands state the desired state, so they are idempotent. */
public enum CommandKind {
    SET_ROLE,
    LOAD_MODEL,
    LOAD_ADAPTER,
    UNLOAD_MODEL,
    DRAIN,
    UNDRAIN,
    /** Only raises the engine's highest fencing number. */
    FENCE
}
