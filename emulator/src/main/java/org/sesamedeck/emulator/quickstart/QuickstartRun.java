package org.sesamedeck.emulator.quickstart;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.emulator.deployment.Deployment;
import org.sesamedeck.emulator.deployment.DeploymentHost;
import org.sesamedeck.emulator.deployment.HostKind;
import org.sesamedeck.emulator.load.EntryBalancer;
import org.sesamedeck.emulator.load.LoadRun;
import org.sesamedeck.emulator.load.LoadSettings;
import org.sesamedeck.emulator.load.LoadTestReport;

/** Starts a deployment and, under load, drains an engine and replaces an entry. */
final class QuickstartRun {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration REPLACE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration LEAVE_PROPAGATION_TIME = Duration.ofSeconds(5);
    private static final String DRAINED_ENGINE = "engine-2";
    private static final String REPLACED_ENTRY = "entry-3";
    private static final double DRAIN_AT_FRACTION = 0.35;
    private static final double REPLACE_AT_FRACTION = 0.55;
    private static final double IDEMPOTENCY_SHARE = 0.15;
    private static final TimeUnit MILLIS = TimeUnit.MILLISECONDS;

    private final Deployment mDeployment;
    private final Clock mClock;
    private final double mRate;
    private final int mSeconds;
    private final long mSeed;
    private final DeploymentAudit mAudit;

    private QuickstartRun(Deployment deployment, Clock clock, double rate, int seconds, long seed) {
        mDeployment = deployment;
        mClock = clock;
        mRate = rate;
        mSeconds = seconds;
        mSeed = seed;
        mAudit = DeploymentAudit.of(deployment);
    }

    static QuickstartRun of(
            Deployment deployment, Clock clock, double rate, int seconds, long seed) {
        return new QuickstartRun(deployment, clock, rate, seconds, seed);
    }

    /** Starts all processes and waits until the entries are ready. */
    void start() throws IOException, InterruptedException {
        long startNanos = mClock.nanoTime();
        mDeployment.startPlatform(START_TIMEOUT);
        mDeployment.startEndpoints(START_TIMEOUT);
        mDeployment.startNodes(START_TIMEOUT);
        System.out.printf(
                "%d processes ready after %.1f s%n",
                mDeployment.running().size(), (mClock.nanoTime() - startNanos) / 1e9);
    }

    /**
     * Sends the load; returns whether every accepted request got its full response exactly once and
     * no valid request was permanently refused.
     */
    boolean load() throws IOException, InterruptedException, ExecutionException {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        try (EntryBalancer balancer =
                EntryBalancer.start(
                        mDeployment.hosts(HostKind.ENTRY).stream()
                                .map(DeploymentHost::address)
                                .toList(),
                        mDeployment.hosts(HostKind.ENTRY).stream()
                                .map(DeploymentHost::admin)
                                .toList())) {
            ScheduledFuture<?> drain =
                    scheduler.schedule(this::drainEngine, millis(DRAIN_AT_FRACTION), MILLIS);
            ScheduledFuture<?> replace =
                    scheduler.schedule(this::replaceEntry, millis(REPLACE_AT_FRACTION), MILLIS);
            LoadTestReport report =
                    LoadRun.of(settings(), mClock, balancer, this::printProgress).run();
            drain.get();
            replace.get();
            System.out.println();
            System.out.print(report.toTable());
            boolean isAuditClean = mAudit.print();
            System.out.println(
                    "valid requests that were permanently refused: "
                            + report.permanentlyRefusedRequests());
            return report.faultyResponses() == 0
                    && report.permanentlyRefusedRequests() == 0
                    && report.fullResponses() > 0
                    && isAuditClean;
        } finally {
            scheduler.shutdownNow();
        }
    }

    private long millis(double fraction) {
        return Math.round(mSeconds * 1000 * fraction);
    }

    private LoadSettings settings() {
        return new LoadSettings(
                mDeployment.hosts(HostKind.ENTRY).stream().map(DeploymentHost::address).toList(),
                mDeployment.hosts(HostKind.ENTRY).stream().map(DeploymentHost::admin).toList(),
                mDeployment.plan().keys(),
                mDeployment.plan().models(),
                Optional.of(mDeployment.plan().plainService()),
                mRate,
                Duration.ofSeconds(mSeconds),
                Duration.ofSeconds(Math.max(1, mSeconds)),
                0.9,
                IDEMPOTENCY_SHARE,
                Duration.ofMillis(450),
                Duration.ofMillis(31),
                Duration.ofSeconds(60),
                mSeed);
    }

    private Void drainEngine() throws IOException, InterruptedException {
        System.out.println("draining " + DRAINED_ENGINE);
        mDeployment.setLeaving(DRAINED_ENGINE, true);
        // Up to 1 s until the platform's host list shows the state, up to 3 s until the system
        // has reacted, and 1 s of margin.
        Thread.sleep(LEAVE_PROPAGATION_TIME.toMillis());
        mAudit.recordRuns(DRAINED_ENGINE);
        return null;
    }

    private Void replaceEntry() throws IOException, InterruptedException {
        System.out.println("replacing " + REPLACED_ENTRY);
        mAudit.recordTraffic(REPLACED_ENTRY);
        mDeployment.replace(REPLACED_ENTRY, REPLACE_TIMEOUT);
        System.out.println(REPLACED_ENTRY + " stopped gracefully and was started again");
        mDeployment.await(List.of(mDeployment.host(REPLACED_ENTRY)), "/ready", START_TIMEOUT);
        return null;
    }

    private void printProgress(LoadTestReport report) {
        System.out.printf(
                "%5d ended, %5d whole, %3d refused, %3d faulty, goodput so far %d%n",
                report.requests(),
                report.fullResponses(),
                report.refusedRequests(),
                report.faultyResponses(),
                report.withinGoals());
    }
}
