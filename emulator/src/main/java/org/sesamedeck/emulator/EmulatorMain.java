package org.sesamedeck.emulator;

import org.sesamedeck.emulator.engine.EngineSubcommand;
import org.sesamedeck.emulator.platform.PlatformSubcommand;
import org.sesamedeck.emulator.service.ServiceSubcommand;
import picocli.CommandLine;

/** Command-line entry point: runs one emulator until the process is terminated. */
@CommandLine.Command(
        name = "emulator",
        description = "Emulates the platform, an engine or a plain service.",
        mixinStandardHelpOptions = true,
        subcommands = {PlatformSubcommand.class, EngineSubcommand.class, ServiceSubcommand.class})
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
