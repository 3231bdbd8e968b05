package org.sesamedeck.endpoint.command;

/** Response of an engine to a command. */
public enum CommandReply {
    /** Status 202: the engine started the command. */
    ACCEPTED,
    /** Status 200: the command was already done. */
    ALREADY_DONE,
    /** Status 409: the fencing number is stale, or another command is in progress. */
    CONFLICT,
    /** Any other 4xx status except 408 and 429: the engine does not accept this command. */
    REFUSED
}
