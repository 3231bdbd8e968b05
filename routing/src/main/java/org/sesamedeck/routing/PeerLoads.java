package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/** Latest load reported by each other process. Not thread-safe. */
public final class PeerLoads {
    /** A process without a report for this long is considered stopped, partitioned or frozen. */
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(1_000);

    private final Clock mClock;
    private final Map<String, PeerReport> mReports = new HashMap<>();

    /** Last report of one process. */
    private record PeerReport(
            long incarnation,
            long sequence,
            long receivedNanos,
            List<EndpointLoad> loads,
            int processes) {}

    private PeerLoads(Clock clock) {
        mClock = clock;
    }

    /** Returns an instance without peers. */
    public static PeerLoads create(Clock clock) {
        return new PeerLoads(clock);
    }

    /**
     * Records a report; one that arrives out of order is ignored.
     *
     * @param incarnation identifies one run of the process; differs after each restart
     * @param sequence increases within an incarnation
     */
    public void receive(String node, long incarnation, long sequence, List<EndpointLoad> loads) {
        receive(node, incarnation, sequence, loads, 1);
    }

    /**
     * Records a report on several processes; one that arrives out of order is ignored.
     *
     * @param incarnation identifies one run of the process; differs after each restart
     * @param sequence increases within an incarnation
     * @param processes number of processes that the load is summed over
     */
    void receive(
            String node, long incarnation, long sequence, List<EndpointLoad> loads, int processes) {
        PeerReport known = mReports.get(node);
        boolean isOutOfOrder =
                known != null && known.incarnation == incarnation && known.sequence >= sequence;
        if (!isOutOfOrder) {
            mReports.put(
                    node,
                    new PeerReport(
                            incarnation,
                            sequence,
                            mClock.nanoTime(),
                            List.copyOf(loads),
                            processes));
        }
    }

    /** Returns the number of processes whose report has not expired. */
    public int peers() {
        removeExpired();
        return mReports.size();
    }

    /** Returns the load by endpoint, summed over all processes whose report has not expired. */
    public Map<String, EndpointLoad> totals() {
        removeExpired();
        Map<String, EndpointLoad> totals = new HashMap<>();
        for (PeerReport report : mReports.values()) {
            for (EndpointLoad load : report.loads) {
                totals.merge(load.endpoint(), load, EndpointLoad::plus);
            }
        }
        return totals;
    }

    /** Returns whether the process has a report that has not expired. */
    boolean isFresh(String node) {
        PeerReport report = mReports.get(node);
        return report != null && !isExpired(report, mClock.nanoTime());
    }

    /** Returns the load in the last report of a process; empty when it has expired. */
    List<EndpointLoad> loadsOf(String node) {
        return isFresh(node) ? mReports.get(node).loads : List.of();
    }

    /** Returns how many processes the last report is summed over; 0 when it has expired. */
    int processesOf(String node) {
        return isFresh(node) ? mReports.get(node).processes : 0;
    }

    /** Returns the load by endpoint in the report that was received last. */
    Optional<Map<String, EndpointLoad>> latest() {
        return latestReport().map(PeerLoads::byEndpoint);
    }

    /** Returns how many processes the report that was received last is summed over. */
    int latestProcesses() {
        return latestReport().map(PeerReport::processes).orElse(0);
    }

    private Optional<PeerReport> latestReport() {
        removeExpired();
        return mReports.values().stream().max(Comparator.comparingLong(PeerReport::receivedNanos));
    }

    private static Map<String, EndpointLoad> byEndpoint(PeerReport report) {
        Map<String, EndpointLoad> loads = new HashMap<>();
        report.loads.forEach(load -> loads.put(load.endpoint(), load));
        return loads;
    }

    private static boolean isExpired(PeerReport report, long nowNanos) {
        return nowNanos - report.receivedNanos > MAX_REPORT_AGE.toNanos();
    }

    private void removeExpired() {
        long now = mClock.nanoTime();
        mReports.values().removeIf(report -> isExpired(report, now));
    }
}
