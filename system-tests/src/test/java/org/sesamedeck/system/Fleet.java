package org.sesamedeck.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.deployment.AdminClient;
import org.sesamedeck.emulator.deployment.Deployment;
import org.sesamedeck.emulator.deployment.DeploymentHost;
import org.sesamedeck.emulator.deployment.DeploymentPlans;
import org.sesamedeck.emulator.deployment.HostKind;

/** A deployment of the real programs, with the queries and actions that the tests need. */
final class Fleet implements AutoCloseable {
    /** Time after which a condition that the programs control counts as failed. */
    static final Duration TIMEOUT = Duration.ofSeconds(90);

    private static final long POLL_MILLIS = 50;
    private static final String VERSION_METRIC = "sesamedeck_control_configuration_version";

    private final Clock mClock = SystemClock.create();
    private final Deployment mDeployment;

    private Fleet(String name, int nodes, int engines, int services) throws IOException {
        mDeployment =
                Deployment.create(
                        DeploymentPlans.zitouna().withCounts(nodes, engines, services),
                        mClock,
                        directory(name));
    }

    /** Returns an empty directory under target, which keeps the logs of a failed test. */
    private static Path directory(String name) throws IOException {
        Path directory = Path.of("target", "fleets", name).toAbsolutePath();
        if (Files.exists(directory)) {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        return directory;
    }

    /** Creates a deployment, starts it and waits until all processes are ready. */
    static Fleet start(String name, int nodes, int engines, int services) throws Exception {
        Fleet fleet = create(name, nodes, engines, services);
        try {
            fleet.start();
            return fleet;
        } catch (Exception failure) {
            fleet.close();
            throw failure;
        }
    }

    /** Returns a deployment that is not started yet, so that its settings can be overridden. */
    static Fleet create(String name, int nodes, int engines, int services) throws IOException {
        return new Fleet(name, nodes, engines, services);
    }

    /** Starts all processes and waits until they are ready. */
    void start() throws Exception {
        mDeployment.startPlatform(TIMEOUT);
        mDeployment.startEndpoints(TIMEOUT);
        mDeployment.startNodes(TIMEOUT);
    }

    Deployment deployment() {
        return mDeployment;
    }

    AdminClient client() {
        return mDeployment.client();
    }

    long nanoTime() {
        return mClock.nanoTime();
    }

    String key() {
        return mDeployment.plan().keys().get(0);
    }

    List<HostAddress> entries() {
        return mDeployment.hosts(HostKind.ENTRY).stream().map(DeploymentHost::address).toList();
    }

    /** Returns the JSON body of a GET response of an emulator. */
    JsonNode fetchJson(String name, String path) throws Exception {
        return client().json(mDeployment.host(name).address(), path);
    }

    /** Sets the injected faults of the platform; an empty object ends all faults. */
    void setPlatformFaults(String faults) throws Exception {
        mDeployment.setFaults("platform", faults);
    }

    /** Waits until a process is ready, or until an emulator responds. */
    void awaitReady(String name) throws Exception {
        DeploymentHost host = mDeployment.host(name);
        boolean isDaemon = host.kind() == HostKind.NODE || host.kind() == HostKind.ENTRY;
        mDeployment.await(List.of(host), isDaemon ? "/ready" : "/v1/state", TIMEOUT);
    }

    boolean isReady(String name) throws Exception {
        return client().text(mDeployment.host(name).admin(), "/ready").isPresent();
    }

    /** Kills a process, waits until it exits, and restarts it without waiting until it is ready. */
    void killAndStart(String name) throws Exception {
        kill(name);
        mDeployment.start(name);
    }

    /** Kills a process and waits until it exits. */
    void kill(String name) throws Exception {
        mDeployment.process(name).kill();
        if (!mDeployment.process(name).awaitExit(TIMEOUT)) {
            throw new AssertionError(name + " did not exit after SIGKILL");
        }
    }

    /** Waits until a condition holds; fails after {@link #TIMEOUT}. */
    void await(String description, Callable<Boolean> condition) throws Exception {
        long deadlineNanos = mClock.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            if (mClock.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError(
                        "condition not met within "
                                + TIMEOUT.toSeconds()
                                + " s: "
                                + description
                                + "; logs in "
                                + mDeployment.directory());
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /**
     * Returns the configuration version in force at a control process; -1 if it does not respond.
     */
    long configurationVersion(String node) throws Exception {
        String metrics = client().text(mDeployment.host(node).admin(), "/prometheus").orElse("");
        for (String line : metrics.split("\n")) {
            if (line.startsWith(VERSION_METRIC)) {
                return (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
            }
        }
        return -1;
    }

    /** Waits until all services are idle and returns the calls that ran at them. */
    List<JsonNode> serviceRuns() throws Exception {
        List<JsonNode> runs = new ArrayList<>();
        for (DeploymentHost service : mDeployment.hosts(HostKind.SERVICE)) {
            // A service that was frozen still reads calls that are buffered in its sockets, so it
            // counts as idle only after three equal polls without a running call.
            long[] last = {-1, 0};
            await(
                    service.name() + " is idle",
                    () -> {
                        long running =
                                fetchJson(service.name(), "/v1/load").path("running").asLong();
                        long total =
                                fetchJson(service.name(), "/emulator/ledger")
                                        .path("total")
                                        .asLong();
                        last[1] = running == 0 && total == last[0] ? last[1] + 1 : 0;
                        last[0] = total;
                        return last[1] >= 3;
                    });
            fetchJson(service.name(), "/emulator/ledger").path("runs").forEach(runs::add);
        }
        return runs;
    }

    @Override
    public void close() {
        mDeployment.close();
    }
}
