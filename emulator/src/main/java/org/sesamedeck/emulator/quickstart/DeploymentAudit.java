package org.sesamedeck.emulator.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.sesamedeck.emulator.deployment.Deployment;
import org.sesamedeck.emulator.deployment.DeploymentHost;
import org.sesamedeck.emulator.deployment.HostKind;
import org.sesamedeck.emulator.load.OperationId;

/** Checks and prints the records that the endpoints and entries keep of a run. */
final class DeploymentAudit {
    private static final String CROSS_REGION_BYTES_METRIC = "entry_other_region_bytes";

    private final Deployment mDeployment;
    private final AtomicLong mBytesOfStoppedEntries = new AtomicLong();
    private final Map<String, Long> mRecordedRunCounts = new ConcurrentHashMap<>();

    private DeploymentAudit(Deployment deployment) {
        mDeployment = deployment;
    }

    static DeploymentAudit of(Deployment deployment) {
        return new DeploymentAudit(deployment);
    }

    /** Records the cross-region traffic of an entry before it stops and loses its counter. */
    void recordTraffic(String entry) throws InterruptedException {
        mBytesOfStoppedEntries.addAndGet(crossRegionBytes(mDeployment.host(entry)));
    }

    /**
     * Records the number of requests that an endpoint has run, so that {@link #print} can report
     * how many it ran after this call.
     */
    void recordRuns(String endpoint) throws IOException, InterruptedException {
        mRecordedRunCounts.put(endpoint, runCount(mDeployment.host(endpoint)));
    }

    private long runCount(DeploymentHost endpoint) throws IOException, InterruptedException {
        return mDeployment
                .client()
                .json(endpoint.address(), "/emulator/ledger")
                .path("total")
                .asLong();
    }

    /** Prints the audit; returns whether every request that may run at most once did so. */
    boolean print() throws IOException, InterruptedException {
        long roleChanges = 0;
        Map<String, Integer> runs = new TreeMap<>();
        for (DeploymentHost engine : mDeployment.hosts(HostKind.ENGINE)) {
            JsonNode commands =
                    mDeployment
                            .client()
                            .json(engine.address(), "/emulator/commands")
                            .path("commands");
            for (JsonNode command : commands) {
                roleChanges += command.path("kind").asText().equals("SET_ROLE") ? 1 : 0;
            }
            countRuns(engine, runs);
        }
        for (DeploymentHost service : mDeployment.hosts(HostKind.SERVICE)) {
            countRuns(service, runs);
        }
        long bytes = mBytesOfStoppedEntries.get();
        for (DeploymentHost entry : mDeployment.hosts(HostKind.ENTRY)) {
            bytes += crossRegionBytes(entry);
        }
        runs.values().removeIf(count -> count < 2);
        JsonNode calls = mDeployment.client().json(mDeployment.platform(), "/emulator/calls");
        System.out.println("role changes " + roleChanges);
        System.out.printf("bytes across regions %,d%n", bytes);
        System.out.printf(
                "object API calls: %d reads, %d writes, %d refused by the rate limit%n",
                calls.path("reads").asLong(),
                calls.path("writes").asLong(),
                calls.path("rateLimited").asLong());
        for (Map.Entry<String, Long> recorded : mRecordedRunCounts.entrySet()) {
            long laterRuns = runCount(mDeployment.host(recorded.getKey())) - recorded.getValue();
            System.out.println(
                    "requests that "
                            + recorded.getKey()
                            + " started after it had left: "
                            + laterRuns);
        }
        System.out.println(
                "requests that may run at most once and ran more than once: " + runs.size());
        return runs.isEmpty();
    }

    private void countRuns(DeploymentHost endpoint, Map<String, Integer> runs)
            throws IOException, InterruptedException {
        JsonNode ledger = mDeployment.client().json(endpoint.address(), "/emulator/ledger");
        for (JsonNode run : ledger.path("runs")) {
            String operation = run.path("operation").asText("");
            // A run that starts after delivered text continues an earlier run.
            boolean isStart = run.path("deliveredBefore").asInt(0) == 0;
            if (isStart && OperationId.isAtMostOnce(operation)) {
                runs.merge(operation, 1, Integer::sum);
            }
        }
    }

    private long crossRegionBytes(DeploymentHost entry) throws InterruptedException {
        double bytes = 0;
        String metrics = mDeployment.client().text(entry.admin(), "/prometheus").orElse("");
        for (String line : metrics.split("\n")) {
            if (line.startsWith(CROSS_REGION_BYTES_METRIC)) {
                bytes += Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
            }
        }
        return Math.round(bytes);
    }
}
