package org.sesamedeck.operator;

import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the audit trail of changes, the latest first. */
@Command(
        name = "audit",
        description =
                "Show the audit trail: who or what changed which object, when, and the values"
                        + " before and after.",
        mixinStandardHelpOptions = true)
final class AuditCommand extends BaseOperatorCommand {
    @Option(
            names = "--limit",
            defaultValue = "50",
            description = "Maximum number of changes to print (default: ${DEFAULT-VALUE}).")
    private int mLimit;

    @Option(
            names = "--since",
            defaultValue = "",
            description = "Only changes at or after this time in UTC, such as 2026-12-01T08:00.")
    private String mSince;

    @Option(
            names = "--object",
            defaultValue = "",
            description = "Only objects whose name contains this text.")
    private String mObject;

    private AuditCommand(OperatorContext context) {
        super(context);
    }

    static AuditCommand of(OperatorContext context) {
        return new AuditCommand(context);
    }

    @Override
    ExitStatus run(ConfigurationClient client) {
        List<AuditRow> rows =
                AuditRow.merge(client.list("audit"), client.readAccepted()).stream()
                        .filter(row -> row.time().compareTo(mSince) >= 0)
                        .filter(row -> row.object().contains(mObject))
                        .limit(mLimit)
                        .toList();
        if (isJson()) {
            OperatorContext.printJson(output(), rows);
            return ExitStatus.OK;
        }
        TextTable table =
                TextTable.of("TIME", "BY", "ASKED BY", "OBJECT", "BEFORE", "AFTER", "FENCING");
        rows.forEach(
                row ->
                        table.row(
                                row.time(),
                                row.actor(),
                                row.cause(),
                                row.object(),
                                row.before(),
                                row.after(),
                                row.fencingNumber()));
        output().print(table.render("no changes recorded"));
        output().flush();
        return ExitStatus.OK;
    }
}
