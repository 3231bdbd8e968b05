package org.sesamedeck.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints one list or both, as last written or as accepted. */
@Command(
        name = "show",
        description = "Show the lists as last written, or as accepted with --accepted.",
        mixinStandardHelpOptions = true)
final class ShowCommand extends BaseOperatorCommand {
    /** Which list to print. */
    enum Selection {
        PLANS,
        ENTITLEMENTS,
        BOTH
    }

    @Parameters(
            index = "0",
            defaultValue = "BOTH",
            description =
                    "plans, entitlements or both (default). One list alone is printed as"
                            + " a file that can be edited and applied.")
    private Selection mSelection;

    @Option(names = "--accepted", description = "Show the version that was accepted last.")
    private boolean mAccepted;

    private ShowCommand(OperatorContext context) {
        super(context);
    }

    static ShowCommand of(OperatorContext context) {
        return new ShowCommand(context);
    }

    @Override
    ExitStatus run(ConfigurationClient client) {
        OperatorLists lists =
                mAccepted
                        ? client.readAccepted().map(OperatorLists::of).orElse(OperatorLists.none())
                        : client.readLists();
        if (isJson()) {
            Map<String, Object> value = new LinkedHashMap<>();
            value.put("version", lists.version());
            value.put("author", lists.author());
            value.put("note", lists.note());
            value.put("plans", lists.plansIni());
            value.put("entitlements", lists.entitlementsIni());
            OperatorContext.printJson(output(), value);
            return ExitStatus.OK;
        }
        // The version goes to standard error, so that standard output is the list alone.
        errors().printf("version %d, written by %s%n", lists.version(), lists.author());
        errors().flush();
        switch (mSelection) {
            case PLANS -> output().print(lists.plansIni());
            case ENTITLEMENTS -> output().print(lists.entitlementsIni());
            default -> {
                output().println("; plans.ini");
                output().println(lists.plansIni());
                output().println("; entitlements.ini");
                output().println(lists.entitlementsIni());
            }
        }
        output().flush();
        return ExitStatus.OK;
    }
}
