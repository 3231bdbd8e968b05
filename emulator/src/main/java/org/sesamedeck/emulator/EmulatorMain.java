package org.sesamedeck.emulator;

import org.sesamedeck.emulator.engine.EngineCommand;
import org.sesamedeck.emulator.platform.PlatformCommand;
import org.sesamedeck.emulator.service.ServiceCommand;
import picocli.CommandLine;

/** Command-line entry point: runs one emulator until the process is terminated. */
@CommandLine.Command(
        name = "emulator",
        description = "Emulates the platform, an engine or a plain service.",
        mixinStandardHelpOptions = true,
        subcommands = {PlatformCommand.class, EngineCommand.class, ServiceCommand.class})
public final class EmulatorMain {
    private EmulatorMain() {}

    /** Runs the subcommand; exits with status 2 if the command line is invalid, 1 on a failure. */
    public static void main(String[] arguments) {
        int status =
                new CommandLine(new EmulatorMain())
                        .setCaseInsensitiveEnumValuesAllowed(true)
                        .execute(arguments);
        if (status != 0) {
            System.exit(status);
        }
    }
}
