package org.sesamedeck.endpoint.command;

import java.util.List;
import java.util.Map;

/**
 * The command log of an engine group, the payload of its lease.
 *
 * @param engines last command by engine name
 * @param roles role history by engine name, oldest first, at most the last 8
 */
public record CommandLog(Map<String, CommandRecord> engines, Map<String, List<String>> roles) {
    /** Returns a log without entries. */
    public static CommandLog empty() {
        return new CommandLog(Map.of(), Map.of());
    }

    /**
     * Reads the log from the payload of an {@code engine-group} object.
     *
     * @throws org.sesamedeck.core.SesamedeckException with INTERNAL_ERROR when it is not a command
     *     log
     */
    public static CommandLog parse(String payload) {
        return CommandLogCodec.parse(payload);
    }
}
