package org.sesamedeck.gateway;

import java.util.List;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.routing.locality.DomainOutflow;
import org.sesamedeck.routing.locality.DomainOutflows;
import org.sesamedeck.routing.locality.OutflowListener;
import org.sesamedeck.routing.locality.ServiceRole;

/** Logs notable changes of the share of requests that may leave this failure domain. */
final class OutflowLog implements OutflowListener {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double PERMILLE = 1_000;

    private final Clock mClock;
    private final DecisionLog mLog;

    OutflowLog(Clock clock, DecisionLog log) {
        mClock = clock;
        mLog = log;
    }

    @Override
    public void began(ServiceRole key, DomainOutflow outflow) {
        record(Decision.OUTFLOW_BEGAN, key, outflow);
    }

    @Override
    public void changed(ServiceRole key, DomainOutflow outflow) {
        record(Decision.OUTFLOW_CHANGED, key, outflow);
    }

    @Override
    public void ended(ServiceRole key, DomainOutflow outflow) {
        record(Decision.OUTFLOW_ENDED, key, outflow);
    }

    private void record(Decision decision, ServiceRole key, DomainOutflow outflow) {
        LogEntry entry =
                LogEntry.of(decision, mClock.nanoTime())
                        .with("service", key.service())
                        .with("role", key.role().name())
                        .with("sharePermille", Math.round(outflow.share() * PERMILLE))
                        .with("domains", List.copyOf(outflow.domains()).toString());
        if (Double.isFinite(outflow.homeWaitNanos())) {
            entry.with("waitMillis", Math.round(outflow.homeWaitNanos() / NANOS_PER_MILLI));
        }
        mLog.record(entry);
    }

    /** Adds the share that may leave and the wait in this failure domain. */
    static void write(MetricsText text, DomainOutflows outflows) {
        outflows.current()
                .forEach(
                        (key, outflow) -> {
                            String label = key.service() + "/" + key.role();
                            text.value(
                                    "sesamedeck_domain_outflow_permille",
                                    "endpoints",
                                    label,
                                    Math.round(outflow.share() * PERMILLE));
                            if (Double.isFinite(outflow.homeWaitNanos())) {
                                text.value(
                                        "sesamedeck_domain_wait_microseconds",
                                        "endpoints",
                                        label,
                                        Math.round(outflow.homeWaitNanos() / 1_000));
                            }
                        });
    }
}
