package org.sesamedeck.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.wire.generated.CodeCount;
import org.sesamedeck.wire.generated.ServiceDemand;
import org.sesamedeck.wire.generated.UsageReport;

/** Metrics of caller requests, and the usage report for the control process. Thread-safe. */
public final class EntryMetrics {
    private static final int PER_CENT = 100;

    private final MetricRegistry mRegistry;
    private final Meter mRequests;
    private final Histogram mFirstToken;
    private final Histogram mTokenInterval;
    private final Histogram mEstimateError;
    private final Counter mOpenStreams;
    private final Counter mOtherRegionBytes;
    private final Counter mResumed;
    private final Counter mContinued;
    private final Counter mCallerDisconnected;
    private final Map<ResultCode, LongAdder> mRefusals = new EnumMap<>(ResultCode.class);
    private final Map<String, Demand> mDemands = new ConcurrentHashMap<>();

    private static final class Demand {
        private final AtomicLong mPromptTokens = new AtomicLong();
        private final AtomicLong mOutputTokens = new AtomicLong();
        private final AtomicLong mRequests = new AtomicLong();
        private final AtomicLong mQueued = new AtomicLong();
    }

    private EntryMetrics(MetricRegistry registry, OpenRequests openRequests) {
        mRegistry = registry;
        mRequests = registry.meter("entry.requests");
        mFirstToken = histogram("entry.first-token-micros");
        mTokenInterval = histogram("entry.token-interval-micros");
        mEstimateError = histogram("entry.prompt-estimate-error-percent");
        mOpenStreams = registry.counter("entry.open-streams");
        mOtherRegionBytes = registry.counter("entry.other-region-bytes");
        mResumed = registry.counter("entry.streams-resumed");
        mContinued = registry.counter("entry.streams-continued");
        mCallerDisconnected = registry.counter("entry.callers-gone");
        registry.gauge("entry.open-requests", () -> (Gauge<Integer>) openRequests::count);
        for (ResultCode code : ResultCode.values()) {
            mRefusals.put(code, new LongAdder());
        }
    }

    /** Registers the metrics of an entry process. */
    public static EntryMetrics of(MetricRegistry registry, OpenRequests openRequests) {
        return new EntryMetrics(registry, openRequests);
    }

    private Histogram histogram(String name) {
        return mRegistry.histogram(name, () -> new Histogram(new ExponentiallyDecayingReservoir()));
    }

    void requestStarted() {
        mRequests.mark();
    }

    void requestFailed(ResultCode code) {
        mRefusals.get(code).increment();
        mRegistry.counter("entry.refusals." + code.name()).inc();
    }

    void recordFirstToken(long nanos) {
        mFirstToken.update(nanos / 1_000);
    }

    void recordTokenInterval(long nanos) {
        mTokenInterval.update(nanos / 1_000);
    }

    void recordPromptEstimate(long estimated, long actual) {
        if (actual > 0) {
            mEstimateError.update((estimated - actual) * PER_CENT / actual);
        }
    }

    void streamOpened() {
        mOpenStreams.inc();
    }

    void streamClosed() {
        mOpenStreams.dec();
    }

    void streamResumed() {
        mResumed.inc();
    }

    void streamContinued() {
        mContinued.inc();
    }

    void callerDisconnected() {
        mCallerDisconnected.inc();
    }

    void otherRegionBytes(long bytes) {
        mOtherRegionBytes.inc(bytes);
    }

    private Demand demand(String service) {
        return mDemands.computeIfAbsent(service, name -> new Demand());
    }

    /** Changes the number of requests that wait for admission to a model service. */
    void adjustQueued(String service, int change) {
        demand(service).mQueued.addAndGet(change);
    }

    /** Records a request of a model service with its estimated tokens. */
    void recordDemand(String service, long promptTokens, long outputTokens) {
        Demand demand = demand(service);
        demand.mRequests.incrementAndGet();
        demand.mPromptTokens.addAndGet(promptTokens);
        demand.mOutputTokens.addAndGet(outputTokens);
    }

    /** Returns the refusals and demand since the previous call and resets their counters. */
    public UsageReport.Builder takeUsageReport() {
        UsageReport.Builder report = UsageReport.newBuilder();
        mRefusals.forEach(
                (code, adder) -> {
                    long count = adder.sumThenReset();
                    if (count > 0) {
                        report.addRefusals(
                                CodeCount.newBuilder().setCode(code.number()).setCount(count));
                    }
                });
        mDemands.forEach(
                (service, demand) ->
                        report.addDemands(
                                ServiceDemand.newBuilder()
                                        .setService(service)
                                        .setPromptTokens(demand.mPromptTokens.getAndSet(0))
                                        .setOutputTokens(demand.mOutputTokens.getAndSet(0))
                                        .setRequests(demand.mRequests.getAndSet(0))
                                        .setQueued(Math.max(0, demand.mQueued.get()))));
        return report;
    }
}
