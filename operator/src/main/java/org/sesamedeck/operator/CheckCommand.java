package org.sesamedeck.operator;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.ConfigurationParser;
import org.sesamedeck.core.ConfigurationResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Validates two list files without a connection to the platform. */
@Command(
        name = "check",
        description = "Check the two lists together, without a connection to the platform.",
        mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
    @Option(names = "--plans", required = true, description = "File with plans and customers.")
    private Path mPlans;

    @Option(names = "--entitlements", required = true, description = "File with entitlements.")
    private Path mEntitlements;

    @Option(names = "--output", defaultValue = "TABLE", description = "table or json.")
    private OutputFormat mOutput;

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() {
        ConfigurationResult result =
                ConfigurationParser.parse(
                        0,
                        OperatorContext.readFile(mPlans),
                        OperatorContext.readFile(mEntitlements));
        PrintWriter output = mSpec.commandLine().getOut();
        if (mOutput == OutputFormat.JSON) {
            OperatorContext.printJson(
                    output, Map.of("valid", result.errors().isEmpty(), "errors", result.errors()));
        } else if (result.configuration().isPresent()) {
            Configuration configuration = result.configuration().get();
            output.printf(
                    "valid: %d plans, %d customers, %d entitlements%n",
                    configuration.plans().size(),
                    configuration.clientAccounts().size(),
                    configuration.entitlements().size());
            output.flush();
        } else {
            OperatorContext.printErrors(output, result.errors());
        }
        return (result.errors().isEmpty() ? ExitStatus.OK : ExitStatus.INVALID_LISTS).number();
    }
}
