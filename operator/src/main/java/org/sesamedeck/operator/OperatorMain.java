package org.sesamedeck.operator;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.function.Function;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.platform.CallCounter;
import org.sesamedeck.platform.HttpObjectStore;
import org.sesamedeck.platform.ObjectStore;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line for operators: edits the lists, and reads status, audit trail, traces and
 * explanations.
 */
@Command(
        name = "sesamedeck",
        description = "Edits the two lists of a deployment and reads its status.",
        mixinStandardHelpOptions = true,
        version = "sesamedeck 0.1.0",
        subcommands = AutoComplete.GenerateCompletion.class,
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {
            "0:done",
            "1:failed; the message says why",
            "2:the command line is wrong",
            "3:the lists are not valid; nothing was written",
            "4:the lists were changed by someone else; nothing was written",
            "5:the platform does not respond; nothing was written",
            "6:the platform's response was lost; read with show before trying again",
            "7:written, but not accepted within the wait"
        })
public final class OperatorMain {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(5);

    private OperatorMain() {}

    /** Runs one command and ends the process with its exit status. */
    public static void main(String[] arguments) {
        CommandLine commandLine =
                commandLine(
                        platform ->
                                HttpObjectStore.create(
                                        platform, STORE_TIMEOUT, CallCounter.create()),
                        SystemClock.create());
        System.exit(commandLine.execute(arguments));
    }

    /** Returns the command line with its subcommands. */
    static CommandLine commandLine(Function<HostAddress, ObjectStore> storeFactory, Clock clock) {
        OperatorContext context = OperatorContext.of(storeFactory, clock);
        return new CommandLine(new OperatorMain())
                .addSubcommand(new CheckCommand())
                .addSubcommand(ShowCommand.of(context))
                .addSubcommand(ApplyCommand.of(context))
                .addSubcommand(StatusCommand.of(context))
                .addSubcommand(AuditCommand.of(context))
                .addSubcommand(new TraceCommand())
                .addSubcommand(new ExplainCommand(new HttpStatusPageReader(STATUS_TIMEOUT)))
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(
                        (failure, command, result) -> report(failure, command.getErr()));
    }

    private static int report(Exception failure, PrintWriter errors) {
        SesamedeckException exception = SesamedeckException.from(failure);
        errors.printf(
                "sesamedeck: %s (%d %s)%n",
                exception.getMessage(), exception.code().number(), exception.code().name());
        exception
                .retryAfter()
                .ifPresent(delay -> errors.printf("try again in %d s%n", delay.toSeconds()));
        errors.flush();
        return ExitStatus.of(exception.code()).number();
    }
}
