package org.sesamedeck.emulator.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.HostAddressConverter;
import org.sesamedeck.emulator.http.Json;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Load test tool: sends requests to the entries of a deployment and verifies every response. */
@Command(
        name = "load",
        showDefaultValues = true,
        description =
                "Sends a mixed load and verifies that each response arrives in full, exactly once.",
        mixinStandardHelpOptions = true)
public final class LoadMain implements Callable<Integer> {
    private static final int EXIT_FAULTY = 1;

    @Option(
            names = "--entries",
            required = true,
            split = ",",
            converter = HostAddressConverter.class,
            paramLabel = "ADDRESS:PORT",
            description = "entry processes")
    private List<HostAddress> mEntries;

    @Option(
            names = "--admins",
            split = ",",
            converter = HostAddressConverter.class,
            paramLabel = "ADDRESS:PORT",
            description = "admin addresses in the same order, for readiness")
    private List<HostAddress> mAdmins = List.of();

    @Option(
            names = "--keys",
            required = true,
            split = ",",
            paramLabel = "KEY",
            description = "API keys, used in turn")
    private List<String> mKeys;

    @Option(
            names = "--models",
            required = true,
            split = ",",
            paramLabel = "NAME",
            description = "models, used in turn")
    private List<String> mModels;

    @Option(names = "--service", paramLabel = "NAME", description = "plain service to call")
    private String mService;

    @Option(
            names = "--rate",
            defaultValue = "10",
            paramLabel = "N",
            description = "mean requests per second")
    private double mRate;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            paramLabel = "N",
            description = "period during which requests arrive, in seconds")
    private double mSeconds;

    @Option(
            names = "--swing-seconds",
            defaultValue = "60",
            paramLabel = "N",
            description =
                    "period of the oscillation between long prompts and long outputs, in seconds")
    private double mMixPeriodSeconds;

    @Option(
            names = "--swing",
            defaultValue = "0.8",
            paramLabel = "0..1",
            description = "0 for a constant mix, 1 for a mix that alternates fully between the two")
    private double mMixAmplitude;

    @Option(
            names = "--idempotency-share",
            defaultValue = "0.1",
            paramLabel = "0..1",
            description = "share of requests that carry an Idempotency-Key")
    private double mIdempotencyShare;

    @Option(
            names = "--first-token-goal-millis",
            defaultValue = "450",
            paramLabel = "N",
            description = "goal for the time to the first token")
    private long mFirstTokenGoalMillis;

    @Option(
            names = "--token-interval-goal-millis",
            defaultValue = "31",
            paramLabel = "N",
            description = "goal for the mean time between tokens")
    private long mTokenIntervalGoalMillis;

    @Option(
            names = "--patience-seconds",
            defaultValue = "60",
            paramLabel = "N",
            description = "client timeout of a request, including its retries, in seconds")
    private double mClientTimeoutSeconds;

    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "seed of the arrivals and their contents")
    private long mSeed;

    @Option(names = "--report", paramLabel = "FILE", description = "file for the report as JSON")
    private Path mReportFile;

    private LoadMain() {}

    /**
     * Exit status: 0 if every accepted request got its full response exactly once, 1 if not, 2 for
     * a wrong command line.
     */
    public static void main(String[] arguments) {
        // The HTTP client logs through SLF4J, which has no provider here.
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        System.exit(new CommandLine(new LoadMain()).execute(arguments));
    }

    private static Duration seconds(double seconds) {
        return Duration.ofNanos(Math.round(seconds * 1e9));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!mAdmins.isEmpty() && mAdmins.size() != mEntries.size()) {
            throw new IllegalArgumentException("--admins needs one address for each of --entries");
        }
        LoadSettings settings =
                new LoadSettings(
                        mEntries,
                        mAdmins,
                        mKeys,
                        mModels,
                        Optional.ofNullable(mService),
                        mRate,
                        seconds(mSeconds),
                        seconds(mMixPeriodSeconds),
                        mMixAmplitude,
                        mIdempotencyShare,
                        Duration.ofMillis(mFirstTokenGoalMillis),
                        Duration.ofMillis(mTokenIntervalGoalMillis),
                        seconds(mClientTimeoutSeconds),
                        mSeed);
        try (EntryBalancer balancer = EntryBalancer.start(mEntries, mAdmins)) {
            LoadTestReport report =
                    LoadRun.of(settings, SystemClock.create(), balancer, LoadMain::printProgress)
                            .run();
            System.out.print(report.toTable());
            if (mReportFile != null) {
                Files.writeString(mReportFile, Json.pretty(report.toJson()));
            }
            return report.faultyResponses() == 0 ? 0 : EXIT_FAULTY;
        }
    }

    private static void printProgress(LoadTestReport report) {
        System.out.printf(
                "%d ended, %d whole, %d refused, %d faulty%n",
                report.requests(),
                report.fullResponses(),
                report.refusedRequests(),
                report.faultyResponses());
    }
}
