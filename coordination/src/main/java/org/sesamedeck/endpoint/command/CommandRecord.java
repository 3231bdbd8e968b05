package org.sesamedeck.endpoint.command;

import java.util.Map;

/**
 * The last command to an engine as recorded in the command log.
 *
 * @param id identifier of the command
 * @param fencingNumber version of the group object that the record of the intent replaced
 * @param kind kind of the command
 * @param arguments arguments by name
 * @param state whether the command is open, done or refused
 */
public record CommandRecord(
        String id,
        long fencingNumber,
        CommandKind kind,
        Map<String, String> arguments,
        CommandState state) {
    CommandRecord withState(CommandState newState) {
        return new CommandRecord(id, fencingNumber, kind, arguments, newState);
    }
}
