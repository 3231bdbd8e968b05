package org.sesamedeck.emulator.quickstart;

import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.deployment.Deployment;
import org.sesamedeck.emulator.deployment.DeploymentHost;
import org.sesamedeck.emulator.deployment.HostKind;

/** Prints addresses and example requests for a deployment that is left running. */
final class DeploymentUsage {
    private DeploymentUsage() {}

    static void print(Deployment deployment) {
        for (HostKind kind : HostKind.values()) {
            for (DeploymentHost host : deployment.hosts(kind)) {
                System.out.printf(
                        "%-10s %-22s admin %-22s %s%n",
                        host.name(), host.address(), host.admin(), host.failureDomain());
            }
        }
        HostAddress entry = deployment.host("entry-1").address();
        String key = deployment.plan().keys().get(0);
        String model = deployment.plan().models().get(0);
        String bearer = "  -H 'Authorization: Bearer " + key + "' \\\n";
        System.out.println(
                "\nAsk a model:\ncurl -N "
                        + entry.toHttpBase()
                        + "/v1/chat/completions \\\n"
                        + bearer
                        + "  -H 'Content-Type: application/json' \\\n"
                        + "  -d '{\"model\":\""
                        + model
                        + "\",\"stream\":true,\"max_tokens\":20,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"Is it done?\"}]}'");
        System.out.println(
                "\nCall the plain service, at most once:\ncurl "
                        + entry.toHttpBase()
                        + "/services/"
                        + deployment.plan().plainService()
                        + "/visits \\\n"
                        + bearer
                        + "  -H 'Idempotency-Key: visit-1' -d '{\"operation\":\"visit-1\"}'");
        System.out.println(
                "\nRead the platform's calls and an engine's commands:\ncurl "
                        + deployment.platform().toHttpBase()
                        + "/emulator/calls\ncurl "
                        + deployment.host("engine-1").address().toHttpBase()
                        + "/emulator/commands\n\nCtrl-C stops everything.");
    }
}
