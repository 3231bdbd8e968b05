package org.sesamedeck.emulator.deployment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sesamedeck.core.ConfigurationParser;
import org.sesamedeck.core.SystemClock;

/** Tests the launcher of the system tests, with emulated processes only. */
final class DeploymentTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @TempDir private Path mDirectory;

    /** Guards against leaked processes, an ineffective freeze, and a host list without states. */
    @Test
    void startsFreezesDrainsReplacesAndStopsProcesses() throws Exception {
        DeploymentPlan plan = DeploymentPlans.zitouna().withCounts(0, 2, 1);
        try (Deployment deployment = Deployment.create(plan, SystemClock.create(), mDirectory)) {
            deployment.startPlatform(TIMEOUT);
            deployment.startEndpoints(TIMEOUT);
            assertThat(deployment.running().size(), is(4));

            ManagedProcess engine = deployment.process("engine-1");
            engine.freeze();
            awaitState(engine, 'T');
            engine.resume();
            AdminClient client = deployment.client();
            JsonNode state = client.json(deployment.host("engine-1").address(), "/v1/state");
            assertThat(state.path("name").asText(), equalTo("engine-1"));

            deployment.setLeaving("engine-2", true);
            JsonNode hosts = client.json(deployment.platform(), "/emulator/hosts");
            assertThat(hosts.size(), is(3));
            assertThat(hosts.path(1).path("state").asText(), equalTo("leaving"));
            String lists =
                    client.text(deployment.platform(), "/v1/objects/configuration/lists")
                            .orElseThrow();
            assertThat(lists, containsString("house-judge"));

            deployment.replace("service-1", TIMEOUT);
            deployment.await(deployment.hosts(HostKind.SERVICE), "/v1/state", TIMEOUT);
            assertThat(deployment.stop(TIMEOUT), is(empty()));
            assertThat(deployment.running(), is(empty()));
        }
    }

    private static void awaitState(ManagedProcess process, char state) throws Exception {
        Path file = Path.of("/proc/" + process.processId() + "/stat");
        for (int i = 0; i < 10_000; i++) {
            String stat = Files.readString(file);
            if (stat.charAt(stat.lastIndexOf(')') + 2) == state) {
                return;
            }
        }
        throw new AssertionError(process.name() + " did not reach state " + state);
    }

    /** Guards against sample configuration lists that the system rejects. */
    @Test
    void sampleListsAreValid() {
        for (DeploymentPlan plan :
                List.of(DeploymentPlans.of("zitouna"), DeploymentPlans.of("qoima"))) {
            assertThat(
                    ConfigurationParser.parse(1, plan.plansText(), plan.entitlementsText())
                            .errors(),
                    is(empty()));
        }
    }
}
