package org.sesamedeck.endpoint.command;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * Body of an engine's response to {@code GET /v1/state}.
 *
 * @param role {@code prefill}, {@code decode} or {@code mixed}
 * @param models loaded models
 * @param adapters loaded adapters
 * @param version software version
 * @param commandInProgress identifier of the command in progress, empty when there is none
 * @param lastCommand identifier of the last command, empty when there is none
 * @param highestFencingNumber highest fencing number that the engine has seen
 * @param checksFencing whether the engine rejects commands with lower numbers
 * @param draining whether the engine is being drained
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineStateResponse(
        String role,
        List<String> models,
        List<String> adapters,
        String version,
        String commandInProgress,
        @JsonAlias({"lastCommandId", "lastCommandIdentifier"}) String lastCommand,
        long highestFencingNumber,
        boolean checksFencing,
        boolean draining) {
    /** Replaces absent values by empty ones. */
    public EngineStateResponse {
        role = role == null ? "" : role;
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        version = version == null ? "" : version;
        commandInProgress = commandInProgress == null ? "" : commandInProgress;
        lastCommand = lastCommand == null ? "" : lastCommand;
    }

    /** Returns whether the command is the last one and no command is in progress. */
    boolean hasCompleted(String commandId) {
        return lastCommand.equals(commandId) && commandInProgress.isEmpty();
    }
}
