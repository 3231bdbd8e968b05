package org.sesamedeck.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.sesamedeck.daemon.caller.CallerLedger;

/** Metrics of what callers hold. */
final class CallerMetrics {
    private CallerMetrics() {}

    static void register(MetricRegistry registry, CallerLedger callers) {
        registry.gauge("callers.connections", () -> (Gauge<Integer>) callers::connections);
        registry.gauge("callers.transfers", () -> (Gauge<Integer>) callers::transfers);
        registry.gauge("callers.memory-bytes", () -> (Gauge<Long>) callers::usedBytes);
        registry.gauge("callers.ended", () -> (Gauge<Long>) callers::ended);
    }
}
