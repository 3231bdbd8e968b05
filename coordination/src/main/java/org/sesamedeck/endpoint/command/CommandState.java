package org.sesamedeck.endpoint.command;

/** State of a recorded command. */
public enum CommandState {
    /** The intent is recorded; the command may or may not have reached the engine. */
    OPEN,
    /** The engine reported the command as done. */
    DONE,
    /** The engine refused the command permanently. */
    REFUSED
}
