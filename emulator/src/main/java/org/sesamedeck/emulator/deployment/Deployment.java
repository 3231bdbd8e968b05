package org.sesamedeck.emulator.deployment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.EmulatorMain;
import org.sesamedeck.emulator.http.Json;

/**
 * Runs a full deployment as processes on this machine: platform, engines, services, control and
 * entry processes. One directory holds the settings files, the two configuration lists, the ledgers
 * of the services and one log per process. Methods may be called from any thread; {@link #close()}
 * kills the processes that still run.
 */
public final class Deployment implements AutoCloseable {
    private static final String ADDRESS = "127.0.0.1";
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final List<String> EMULATOR_JVM_OPTIONS =
            List.of("-Xmx64m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final String CONTROL_JVM_OPTIONS =
            "-Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss256k";
    private static final String ENTRY_JVM_OPTIONS = "-Xmx256m -XX:+UseSerialGC";
    private static final int MAX_SEEDS = 3;
    // Every third engine ignores fencing numbers, as some engines in use do.
    private static final int UNFENCED_ENGINE_INTERVAL = 3;
    private static final long POLL_MILLIS = 100;

    private final DeploymentPlan mPlan;
    private final Clock mClock;
    private final Path mSourceRoot;
    private final Path mDirectory;
    private final AdminClient mClient = AdminClient.create();
    private final Map<String, DeploymentHost> mHosts = new LinkedHashMap<>();
    private final Map<String, ManagedProcess> mProcesses = new ConcurrentHashMap<>();
    private final Map<HostKind, SettingsFile> mOverrides = new ConcurrentHashMap<>();
    private final Map<String, SettingsFile> mHostOverrides = new ConcurrentHashMap<>();
    private final Set<String> mLeaving = new HashSet<>();
    private final Set<String> mUnlisted = new HashSet<>();

    private Deployment(DeploymentPlan plan, Clock clock, Path root, Path directory) {
        mPlan = plan;
        mClock = clock;
        mSourceRoot = root;
        mDirectory = directory;
    }

    /** Assigns addresses to the processes of a deployment without starting any. */
    public static Deployment create(DeploymentPlan plan, Clock clock, Path directory)
            throws IOException {
        Deployment deployment = new Deployment(plan, clock, SourceTree.root(), directory);
        Files.createDirectories(directory);
        deployment.assignAddresses();
        return deployment;
    }

    private void assignAddresses() throws IOException {
        int count = 1 + mPlan.engines() + mPlan.services() + 4 * mPlan.nodes();
        List<Integer> ports = new ArrayList<>(FreePorts.find(ADDRESS, count));
        addHosts(HostKind.PLATFORM, 1, "platform", "", ports);
        addHosts(HostKind.ENGINE, mPlan.engines(), "engine", mPlan.modelService(), ports);
        addHosts(HostKind.SERVICE, mPlan.services(), "service", mPlan.plainService(), ports);
        addHosts(HostKind.NODE, mPlan.nodes(), "node", "", ports);
        addHosts(HostKind.ENTRY, mPlan.nodes(), "entry", "", ports);
    }

    private void addHosts(
            HostKind kind, int count, String prefix, String service, List<Integer> ports) {
        for (int index = 0; index < count; index++) {
            HostAddress address = HostAddress.of(ADDRESS, ports.remove(0));
            boolean hasAdmin = kind == HostKind.NODE || kind == HostKind.ENTRY;
            HostAddress admin = hasAdmin ? HostAddress.of(ADDRESS, ports.remove(0)) : address;
            String name = kind == HostKind.PLATFORM ? prefix : prefix + "-" + (index + 1);
            mHosts.put(
                    name,
                    new DeploymentHost(
                            name,
                            kind,
                            index,
                            address,
                            admin,
                            service,
                            mPlan.failureDomain(index),
                            mPlan.region(index)));
        }
    }

    /** Overrides a setting of all control or entry processes that are started after this call. */
    public void override(HostKind kind, String section, String key, String value) {
        mOverrides.computeIfAbsent(kind, absent -> SettingsFile.create()).set(section, key, value);
    }

    /** Overrides a setting of one control or entry process from its next start on. */
    public void override(String name, String section, String key, String value) {
        mHostOverrides
                .computeIfAbsent(host(name).name(), absent -> SettingsFile.create())
                .set(section, key, value);
    }

    /** Returns the composition of this deployment. */
    public DeploymentPlan plan() {
        return mPlan;
    }

    /** Returns the directory of the settings files, configuration lists and logs. */
    public Path directory() {
        return mDirectory;
    }

    /** Returns the client for emulators and admin ports. */
    public AdminClient client() {
        return mClient;
    }

    /**
     * Returns a host.
     *
     * @throws NoSuchElementException if no host has this name
     */
    public DeploymentHost host(String name) {
        DeploymentHost host = mHosts.get(name);
        if (host == null) {
            throw new NoSuchElementException("no host " + name + " in " + mHosts.keySet());
        }
        return host;
    }

    /** Returns the hosts of a kind, ordered by index. */
    public List<DeploymentHost> hosts(HostKind kind) {
        return mHosts.values().stream().filter(host -> host.kind() == kind).toList();
    }

    /** Returns the address of the platform. */
    public HostAddress platform() {
        return host("platform").address();
    }

    /**
     * Returns the process that was last started under a name.
     *
     * @throws NoSuchElementException if none was started
     */
    public ManagedProcess process(String name) {
        ManagedProcess process = mProcesses.get(name);
        if (process == null) {
            throw new NoSuchElementException(name + " was not started");
        }
        return process;
    }

    /** Returns the running processes. */
    public List<ManagedProcess> running() {
        return mProcesses.values().stream().filter(ManagedProcess::isAlive).toList();
    }

    /**
     * Starts the platform, waits until it responds, and stores the host list and the two
     * configuration lists in it.
     */
    public void startPlatform(Duration timeout) throws IOException, InterruptedException {
        start("platform");
        await(List.of(host("platform")), "/emulator/calls", timeout);
        publishHosts();
        Files.writeString(mDirectory.resolve("plans.ini"), mPlan.plansText());
        Files.writeString(mDirectory.resolve("entitlements.ini"), mPlan.entitlementsText());
        ObjectNode lists =
                Json.object()
                        .put("plans", mPlan.plansText())
                        .put("entitlements", mPlan.entitlementsText())
                        .put("author", "quickstart")
                        .put("note", "first lists of " + mPlan.name());
        mClient.put(
                platform(),
                "/v1/objects/configuration/lists",
                lists.toString(),
                "If-None-Match",
                "*");
    }

    /** Starts the engines and services and waits until all respond. */
    public void startEndpoints(Duration timeout) throws IOException, InterruptedException {
        List<DeploymentHost> endpoints = new ArrayList<>(hosts(HostKind.ENGINE));
        endpoints.addAll(hosts(HostKind.SERVICE));
        for (DeploymentHost endpoint : endpoints) {
            start(endpoint.name());
        }
        await(endpoints, "/v1/state", timeout);
    }

    /** Starts the control and entry processes and waits until all are ready. */
    public void startNodes(Duration timeout) throws IOException, InterruptedException {
        List<DeploymentHost> nodes = new ArrayList<>(hosts(HostKind.NODE));
        nodes.addAll(hosts(HostKind.ENTRY));
        for (DeploymentHost node : nodes) {
            start(node.name());
        }
        await(nodes, "/ready", timeout);
    }

    /** Starts or restarts one process without waiting until it is ready. */
    public ManagedProcess start(String name) throws IOException {
        DeploymentHost host = host(name);
        Files.createDirectories(mDirectory.resolve("logs"));
        ManagedProcess process =
                ManagedProcess.start(
                        name,
                        command(host),
                        Map.of(
                                "JAVA_OPTIONS",
                                host.kind() == HostKind.NODE
                                        ? CONTROL_JVM_OPTIONS
                                        : ENTRY_JVM_OPTIONS),
                        mDirectory.resolve("logs").resolve(name + ".log"));
        mProcesses.put(name, process);
        return process;
    }

    private List<String> command(DeploymentHost host) throws IOException {
        Path settings = mDirectory.resolve(host.name() + ".ini");
        List<HostAddress> controls =
                hosts(HostKind.NODE).stream().map(DeploymentHost::address).toList();
        switch (host.kind()) {
            case NODE:
                List<HostAddress> seeds = controls.subList(0, Math.min(MAX_SEEDS, controls.size()));
                Files.writeString(
                        settings,
                        SettingsFiles.control(host, mPlan, platform(), seeds)
                                .merge(mOverrides.get(HostKind.NODE))
                                .merge(mHostOverrides.get(host.name()))
                                .toString());
                return List.of(script("sesamedeck-control"), settings.toString());
            case ENTRY:
                Files.writeString(
                        settings,
                        SettingsFiles.entry(host, controls.get(host.index()))
                                .merge(mOverrides.get(HostKind.ENTRY))
                                .merge(mHostOverrides.get(host.name()))
                                .toString());
                return List.of(script("sesamedeck-entry"), settings.toString());
            default:
                return emulatorCommand(host);
        }
    }

    /** Emulators use the launcher's class path, so tests can start them before packaging. */
    private List<String> emulatorCommand(DeploymentHost host) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "-cp",
                                System.getProperty("java.class.path"),
                                EmulatorMain.class.getName(),
                                host.kind().label(),
                                "--listen",
                                host.address().toString()));
        command.addAll(0, EMULATOR_JVM_OPTIONS);
        command.add(0, JAVA);
        if (host.kind() != HostKind.PLATFORM) {
            command.addAll(List.of("--name", host.name()));
        }
        if (host.kind() == HostKind.SERVICE) {
            Path ledger = mDirectory.resolve(host.name() + ".ledger");
            command.addAll(List.of("--ledger-file", ledger.toString()));
        }
        if (host.kind() == HostKind.ENGINE) {
            boolean ignoresFencing =
                    host.index() % UNFENCED_ENGINE_INTERVAL == UNFENCED_ENGINE_INTERVAL - 1;
            command.addAll(List.of("--models", String.join(",", mPlan.models())));
            command.addAll(List.of("--fencing", ignoresFencing ? "ignored" : "checked"));
            command.addAll(mPlan.engineArguments());
        }
        return command;
    }

    private String script(String name) {
        return mSourceRoot.resolve("bin").resolve(name).toString();
    }

    /**
     * Waits until all hosts respond with status 200 to a path of their admin address.
     *
     * @throws IOException if a host does not respond in time or its process ends
     */
    public void await(Collection<DeploymentHost> hosts, String path, Duration timeout)
            throws IOException, InterruptedException {
        long deadlineNanos = mClock.nanoTime() + timeout.toNanos();
        for (DeploymentHost host : hosts) {
            while (mClient.text(host.admin(), path).isEmpty()) {
                ManagedProcess process = process(host.name());
                if (!process.isAlive()) {
                    throw new IOException(
                            host.name()
                                    + " exited with status "
                                    + process.exitStatus()
                                    + "; see "
                                    + process.log());
                }
                if (mClock.nanoTime() - deadlineNanos > 0) {
                    throw new IOException(
                            host.name()
                                    + " did not respond with status 200 to "
                                    + path
                                    + " within "
                                    + timeout.toSeconds()
                                    + " s; see "
                                    + process.log());
                }
                Thread.sleep(POLL_MILLIS);
            }
        }
    }

    /** Marks a host as leaving, or as live again, in the platform's host list. */
    public void setLeaving(String name, boolean isLeaving)
            throws IOException, InterruptedException {
        synchronized (mLeaving) {
            if (isLeaving) {
                mLeaving.add(host(name).name());
            } else {
                mLeaving.remove(name);
            }
        }
        publishHosts();
    }

    /** Removes a host from the platform's host list or adds it back. */
    public void setListed(String name, boolean isListed) throws IOException, InterruptedException {
        synchronized (mLeaving) {
            if (isListed) {
                mUnlisted.remove(name);
            } else {
                mUnlisted.add(host(name).name());
            }
        }
        publishHosts();
    }

    private void publishHosts() throws IOException, InterruptedException {
        ArrayNode list = Json.array();
        synchronized (mLeaving) {
            for (DeploymentHost host : mHosts.values()) {
                boolean isListed =
                        host.kind() != HostKind.PLATFORM
                                && host.kind() != HostKind.ENTRY
                                && !mUnlisted.contains(host.name());
                if (isListed) {
                    list.addObject()
                            .put("name", host.name())
                            .put("address", host.address().address())
                            .put("port", host.address().port())
                            .put("kind", host.kind().label())
                            .put("service", host.service())
                            .put("failureDomain", host.failureDomain())
                            .put("region", host.region())
                            .put("state", mLeaving.contains(host.name()) ? "leaving" : "live");
                }
            }
        }
        mClient.put(platform(), "/emulator/hosts", list.toString());
    }

    /**
     * Sets the injected faults of an emulator. The fields of the JSON object are documented at the
     * classes EngineFaults, PlatformFaults and ServiceFaults of the emulators.
     */
    public void setFaults(String name, String faults) throws IOException, InterruptedException {
        mClient.put(host(name).address(), "/emulator/faults", faults);
    }

    /**
     * Stops a process gracefully and starts it again under the same name and addresses.
     *
     * @throws IOException if it does not stop within the timeout
     */
    public void replace(String name, Duration timeout) throws IOException, InterruptedException {
        ManagedProcess previous = process(name);
        previous.terminate();
        if (!previous.awaitExit(timeout)) {
            throw new IOException(name + " did not stop within " + timeout.toSeconds() + " s");
        }
        start(name);
    }

    /**
     * Stops all processes gracefully, group by group: entries, control processes, endpoints,
     * platform.
     *
     * @return names of the processes that did not stop; the timeout applies to each group
     */
    public List<String> stop(Duration timeout) throws InterruptedException {
        List<String> unstopped = new ArrayList<>();
        stop(List.of(HostKind.ENTRY), timeout, unstopped);
        stop(List.of(HostKind.NODE), timeout, unstopped);
        stop(List.of(HostKind.ENGINE, HostKind.SERVICE), timeout, unstopped);
        stop(List.of(HostKind.PLATFORM), timeout, unstopped);
        return unstopped;
    }

    private void stop(List<HostKind> kinds, Duration timeout, List<String> unstopped)
            throws InterruptedException {
        List<ManagedProcess> stopping =
                running().stream()
                        .filter(process -> kinds.contains(host(process.name()).kind()))
                        .toList();
        stopping.forEach(ManagedProcess::terminate);
        long deadlineNanos = mClock.nanoTime() + timeout.toNanos();
        for (ManagedProcess process : stopping) {
            long remainingNanos = Math.max(0, deadlineNanos - mClock.nanoTime());
            if (!process.awaitExit(Duration.ofNanos(remainingNanos))) {
                unstopped.add(process.name());
            }
        }
    }

    @Override
    public void close() {
        running().forEach(ManagedProcess::kill);
    }
}
