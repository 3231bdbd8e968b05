package org.sesamedeck.emulator.quickstart;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.deployment.Deployment;
import org.sesamedeck.emulator.deployment.DeploymentPlans;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a full deployment on this machine as a demonstration. */
@Command(
        name = "quickstart",
        showDefaultValues = true,
        description = "Starts a deployment, sends it an oscillating load, and stops it again.",
        mixinStandardHelpOptions = true)
public final class QuickstartMain implements Callable<Integer> {
    private static final int EXIT_FAULTY = 1;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

    @Option(
            names = "--deployment",
            defaultValue = "zitouna",
            paramLabel = "NAME",
            description = "zitouna or qoima")
    private String mDeployment;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            paramLabel = "N",
            description = "duration of the load, in seconds")
    private int mSeconds;

    @Option(
            names = "--rate",
            defaultValue = "12",
            paramLabel = "N",
            description = "mean requests per second")
    private double mRate;

    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "seed of the load")
    private long mSeed;

    @Option(names = "--keep", description = "sends no load; runs until Ctrl-C or SIGTERM")
    private boolean mKeepsRunning;

    private QuickstartMain() {}

    /**
     * Exit status: 0 if every accepted request got its full response exactly once, no valid request
     * was permanently refused and every process stopped, 1 if not, 2 for a wrong command line.
     */
    public static void main(String[] arguments) {
        // The HTTP client logs through SLF4J, which has no provider here.
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        System.exit(new CommandLine(new QuickstartMain()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        Path directory = Files.createTempDirectory("sesamedeck-quickstart-");
        SystemClock clock = SystemClock.create();
        try (Deployment deployment =
                Deployment.create(DeploymentPlans.of(mDeployment), clock, directory)) {
            CountDownLatch stopped = new CountDownLatch(1);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stopRemaining(deployment)));
            System.out.println("files of the deployment: " + directory);
            QuickstartRun run = QuickstartRun.of(deployment, clock, mRate, mSeconds, mSeed);
            run.start();
            boolean isSuccessful = true;
            if (mKeepsRunning) {
                DeploymentUsage.print(deployment);
                stopped.await();
            } else {
                isSuccessful = run.load();
            }
            List<String> unstopped = deployment.stop(STOP_TIMEOUT);
            System.out.println(
                    unstopped.isEmpty() ? "all processes stopped" : "still running: " + unstopped);
            if (isSuccessful && unstopped.isEmpty()) {
                System.out.println("every accepted request got its full response exactly once");
                DirectoryTree.delete(directory);
                return 0;
            }
            System.out.println("FAILED; logs are in " + directory.resolve("logs"));
            return EXIT_FAULTY;
        }
    }

    /** Stops the running processes when the launcher itself is terminated. */
    private static void stopRemaining(Deployment deployment) {
        if (deployment.running().isEmpty()) {
            return;
        }
        System.out.println("stopping " + deployment.running().size() + " processes");
        try {
            List<String> unstopped = deployment.stop(STOP_TIMEOUT);
            if (!unstopped.isEmpty()) {
                System.out.println("killing " + unstopped);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        deployment.close();
    }
}
