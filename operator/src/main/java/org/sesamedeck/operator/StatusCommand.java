package org.sesamedeck.operator;

import java.util.ArrayList;
import java.util.List;
import org.sesamedeck.platform.StoredObject;
import picocli.CommandLine.Command;

/** Prints the state of the deployment. */
@Command(
        name = "status",
        description = {
            "Show the accepted version and where it is in force, the plans' shares, endpoints and"
                    + " roles, leases, refusals and problems."
        },
        mixinStandardHelpOptions = true)
final class StatusCommand extends BaseOperatorCommand {
    private StatusCommand(OperatorContext context) {
        super(context);
    }

    static StatusCommand of(OperatorContext context) {
        return new StatusCommand(context);
    }

    @Override
    ExitStatus run(ConfigurationClient client) {
        List<StoredObject> leases = new ArrayList<>(client.list("lease"));
        leases.addAll(client.list("engine-group"));
        StatusReport report =
                StatusReport.of(
                        client.readLists(), client.readAccepted(), client.list("status"), leases);
        if (isJson()) {
            OperatorContext.printJson(output(), report);
        } else {
            print(report);
        }
        return ExitStatus.OK;
    }

    private void print(StatusReport report) {
        output().printf(
                        "lists version %d, accepted version %d%s%n%n",
                        report.listsVersion(),
                        report.acceptedVersion(),
                        report.isPending() ? " (the lists are not accepted yet)" : "");
        TextTable nodes =
                TextTable.of("NODE", "FAILURE DOMAIN", "VERSION", "ADMITS", "OPEN", "SEEN");
        report.nodes()
                .forEach(
                        node ->
                                nodes.row(
                                        node.node(),
                                        node.failureDomain(),
                                        node.version(),
                                        node.admitting() ? "yes" : "no",
                                        node.openRequests(),
                                        node.ageSeconds() + " s ago"));
        output().println(nodes.render("no node has reported"));
        TextTable plans =
                TextTable.of("PLAN", "OWED %", "RECEIVED %", "REQUESTS", "RUNNING", "TOKENS");
        report.plans()
                .forEach(
                        plan ->
                                plans.row(
                                        plan.plan(),
                                        plan.owedPercent(),
                                        plan.receivedPercent(),
                                        plan.requests(),
                                        plan.inFlight(),
                                        plan.tokens()));
        output().println(plans.render("no plans accepted"));
        TextTable endpoints =
                TextTable.of("ENDPOINT", "SERVICE", "FAILURE DOMAIN", "ROLE", "STATE");
        report.endpoints()
                .forEach(
                        endpoint ->
                                endpoints.row(
                                        endpoint.endpoint(),
                                        endpoint.service(),
                                        endpoint.failureDomain(),
                                        endpoint.role(),
                                        endpoint.state()));
        output().println(endpoints.render("no endpoints reported"));
        TextTable leases = TextTable.of("LEASE", "HOLDER", "VERSION", "RELEASED");
        report.leases()
                .forEach(
                        lease ->
                                leases.row(
                                        lease.lease(),
                                        lease.holder(),
                                        lease.version(),
                                        lease.released() ? "yes" : "no"));
        output().println(leases.render("no leases"));
        TextTable refusals = TextTable.of("REFUSED WITH", "TIMES");
        report.refusals().forEach((code, count) -> refusals.row(code, count));
        output().println(refusals.render("no refusals in the last interval"));
        report.problems().forEach(problem -> output().println("problem: " + problem));
        output().flush();
    }
}
