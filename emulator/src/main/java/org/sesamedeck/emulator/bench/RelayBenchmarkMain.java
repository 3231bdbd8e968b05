package org.sesamedeck.emulator.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.deployment.Deployment;
import org.sesamedeck.emulator.deployment.DeploymentHost;
import org.sesamedeck.emulator.deployment.DeploymentPlan;
import org.sesamedeck.emulator.deployment.DeploymentPlans;
import org.sesamedeck.emulator.deployment.HostKind;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures in one run the overhead of an entry process over calling the engines directly. */
@Command(
        name = "bench-relay",
        description = "Compares streams through one entry process with streams from the engines.",
        mixinStandardHelpOptions = true)
public final class RelayBenchmarkMain implements Callable<Integer> {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int SHORT_STREAM_TOKENS = 50;
    private static final int LONG_STREAM_TOKENS = 200;
    private static final double QUARTER_LOAD = 0.25;

    @Option(names = "--seconds", defaultValue = "10", description = "Length of each part.")
    private int mSeconds;

    @Option(names = "--engines", defaultValue = "12", description = "Emulated engines.")
    private int mEngines;

    @Option(names = "--connections", defaultValue = "64", description = "Connections under load.")
    private int mConnections;

    @Option(names = "--open-streams", defaultValue = "1000", description = "Streams held open.")
    private int mOpenStreams;

    private final Clock mClock = SystemClock.create();

    private RelayBenchmarkMain() {}

    /** Runs the benchmark and prints its measurements. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new RelayBenchmarkMain()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        System.out.printf(
                "%d engines, %d connections, %d s per part, %d processors%n",
                mEngines, mConnections, mSeconds, Runtime.getRuntime().availableProcessors());
        runPart(
                List.of("--decode-base-micros=300", "--decode-sequence-micros=0"),
                this::compareRates);
        runPart(
                List.of("--decode-base-micros=100000", "--decode-sequence-micros=0"),
                this::measureMemory);
        return 0;
    }

    /** Part of the benchmark that runs against a started deployment. */
    private interface Part {
        void run(Deployment deployment, DeploymentPlan plan) throws Exception;
    }

    private void runPart(List<String> engineArguments, Part part) throws Exception {
        Path directory = Files.createTempDirectory("sesamedeck-bench-");
        List<String> arguments =
                new ArrayList<>(
                        List.of("--batch-size=256", "--prefill-tokens-per-second=10000000"));
        arguments.addAll(engineArguments);
        DeploymentPlan plan =
                DeploymentPlans.zitouna()
                        .withoutLimits()
                        .withCounts(1, mEngines, 1)
                        .withEngineArguments(arguments);
        try (Deployment deployment = Deployment.create(plan, mClock, directory)) {
            deployment.override(HostKind.ENTRY, "http", "threads", "1400");
            deployment.startPlatform(START_TIMEOUT);
            deployment.startEndpoints(START_TIMEOUT);
            deployment.startNodes(START_TIMEOUT);
            part.run(deployment, plan);
            deployment.stop(START_TIMEOUT);
        }
    }

    private HostAddress entry(Deployment deployment) {
        return deployment.hosts(HostKind.ENTRY).get(0).address();
    }

    private StreamRequests requests(int tokens) {
        return StreamRequests.of("house-judge", "key-tunis-kitchen", tokens);
    }

    private StreamLoad.Measurements runLoad(List<HostAddress> targets, double streamsPerSecond)
            throws Exception {
        return StreamLoad.of(mClock, targets, requests(SHORT_STREAM_TOKENS))
                .run(mConnections, streamsPerSecond, Duration.ofSeconds(mSeconds));
    }

    private void compareRates(Deployment deployment, DeploymentPlan plan) throws Exception {
        List<HostAddress> engines =
                deployment.hosts(HostKind.ENGINE).stream().map(DeploymentHost::address).toList();
        List<HostAddress> relay = List.of(entry(deployment));
        awaitConfiguration(relay.get(0));
        // Warm-up; the results are discarded.
        runLoad(relay, 0);
        runLoad(engines, 0);
        StreamLoad.Measurements direct = runLoad(engines, 0);
        long processId =
                deployment.process(deployment.hosts(HostKind.ENTRY).get(0).name()).processId();
        Duration before = processorTime(processId);
        StreamLoad.Measurements relayed = runLoad(relay, 0);
        Duration processorTimeUsed = processorTime(processId).minus(before);
        print("direct, saturated", direct);
        print("relayed, saturated", relayed);
        System.out.printf(
                "ratio of streams/s %.2f, of events/s %.2f (target: at least 0.50)%n",
                relayed.streamsPerSecond() / direct.streamsPerSecond(),
                relayed.eventsPerSecond() / direct.eventsPerSecond());
        System.out.printf(
                "processor time of the entry process: %.1f microseconds per event%n",
                processorTimeUsed.toNanos() / 1e3 / (relayed.eventsPerSecond() * mSeconds));
        double streamsPerSecond = relayed.streamsPerSecond() * QUARTER_LOAD;
        StreamLoad.Measurements directQuarterLoad = runLoad(engines, streamsPerSecond);
        StreamLoad.Measurements relayedQuarterLoad = runLoad(relay, streamsPerSecond);
        print("direct, quarter load", directQuarterLoad);
        print("relayed, quarter load", relayedQuarterLoad);
        System.out.printf(
                "added first-byte latency: %.2f ms at 50%% (target: under 1.00), %.2f ms at 99%%%n",
                (relayedQuarterLoad.firstByteMicros()[0] - directQuarterLoad.firstByteMicros()[0])
                        / 1e3,
                (relayedQuarterLoad.firstByteMicros()[1] - directQuarterLoad.firstByteMicros()[1])
                        / 1e3);
    }

    private void measureMemory(Deployment deployment, DeploymentPlan plan) throws Exception {
        DeploymentHost host = deployment.hosts(HostKind.ENTRY).get(0);
        long processId = deployment.process(host.name()).processId();
        awaitConfiguration(host.address());
        long idle = residentMegabytes(processId);
        OpenStreams streams =
                OpenStreams.start(
                        mClock, host.address(), requests(LONG_STREAM_TOKENS), mOpenStreams);
        long unopened = streams.awaitOpen();
        long open = residentMegabytes(processId);
        int completed = streams.awaitEnd();
        System.out.printf(
                "memory of the entry process: %d MB idle, %d MB with %d open streams;"
                        + " %d of %d streams completed%n",
                idle, open, mOpenStreams - unopened, completed, mOpenStreams);
    }

    /** Waits until the first configuration is accepted; before that, no client account is known. */
    private void awaitConfiguration(HostAddress entry) throws InterruptedException {
        long endNanos = mClock.nanoTime() + START_TIMEOUT.toNanos();
        while (mClock.nanoTime() < endNanos) {
            try (StreamConnection connection = StreamConnection.open(mClock, entry)) {
                connection.run(requests(1).next(), () -> {});
                return;
            } catch (IOException notYet) {
                Thread.sleep(200);
            }
        }
        throw new IllegalStateException(
                "no stream succeeded within " + START_TIMEOUT.toSeconds() + " s");
    }

    private static Duration processorTime(long processId) {
        return ProcessHandle.of(processId)
                .flatMap(process -> process.info().totalCpuDuration())
                .orElse(Duration.ZERO);
    }

    private static long residentMegabytes(long processId) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + processId + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
            }
        }
        throw new IOException("process " + processId + " reports no VmRSS");
    }

    private static void print(String name, StreamLoad.Measurements measurements) {
        System.out.printf(
                "%-22s %8.0f streams/s %9.0f events/s, first byte %7.2f ms at 50%% %7.2f ms at"
                        + " 99%%, %d failures%n",
                name,
                measurements.streamsPerSecond(),
                measurements.eventsPerSecond(),
                measurements.firstByteMicros()[0] / 1e3,
                measurements.firstByteMicros()[1] / 1e3,
                measurements.failures());
    }
}
