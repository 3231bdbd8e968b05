package org.sesamedeck.endpoint.command;

import java.util.Map;

/**
 * A command in the form in which it is sent to an engine.
 *
 * @param id identifier; a retry of the command has the same one
 * @param fencingNumber number that the engine compares with the highest one it has seen
 * @param kind kind of the command
 * @param arguments arguments by name
 */
public record EngineCommand(
        String id, long fencingNumber, CommandKind kind, Map<String, String> arguments) {}
