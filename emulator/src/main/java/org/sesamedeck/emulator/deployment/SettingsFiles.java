package org.sesamedeck.emulator.deployment;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.sesamedeck.core.HostAddress;

/** Creates the settings files of the control and entry processes of a deployment. */
final class SettingsFiles {
    private static final String RESUME_KEY = "emulated-deployment-resume-key";

    private SettingsFiles() {}

    static SettingsFile entry(DeploymentHost entry, HostAddress control) {
        return node(entry)
                .set("http", "listen", entry.address())
                .set("http", "admin-listen", entry.admin())
                .set("http", "threads", 300)
                .set("control", "address", control)
                .set("resume", "key", RESUME_KEY);
    }

    static SettingsFile control(
            DeploymentHost control,
            DeploymentPlan plan,
            HostAddress platform,
            List<HostAddress> seeds) {
        return node(control)
                .set("node", "listen", control.address())
                .set("http", "admin-listen", control.admin())
                .set("http", "threads", 16)
                .set("platform", "address", platform)
                .set(
                        "peers",
                        "seeds",
                        seeds.stream().map(HostAddress::toString).collect(Collectors.joining(", ")))
                .set(
                        "engines",
                        "role-change-weight",
                        String.format(Locale.ROOT, "%.2f", plan.roleChangeWeight()));
    }

    private static SettingsFile node(DeploymentHost host) {
        return SettingsFile.create()
                .set("node", "name", host.name())
                .set("node", "failure-domain", host.failureDomain())
                .set("node", "region", host.region());
    }
}
