package org.sesamedeck.emulator.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.emulator.http.Json;

/**
 * Reports the load of the engine with a configured lag: a report is the latest sample that is at
 * least as old as the lag, or the first sample if there is none yet. Without a lag, a report is the
 * current load. Confined to the event loop.
 */
final class LoadReporter {
    private static final long SAMPLE_INTERVAL_MILLIS = 100;

    private final BatchScheduler mScheduler;
    private final Clock mClock;
    private final long mLagNanos;
    private final Deque<Sample> mSamples = new ArrayDeque<>();

    private LoadReporter(BatchScheduler scheduler, Clock clock, long lagNanos) {
        mScheduler = scheduler;
        mClock = clock;
        mLagNanos = lagNanos;
    }

    static LoadReporter start(
            BatchScheduler scheduler,
            Clock clock,
            long lagNanos,
            ScheduledExecutorService eventLoop) {
        LoadReporter reporter = new LoadReporter(scheduler, clock, lagNanos);
        reporter.recordSample();
        if (lagNanos > 0) {
            eventLoop.scheduleAtFixedRate(
                    reporter::recordSample,
                    SAMPLE_INTERVAL_MILLIS,
                    SAMPLE_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        return reporter;
    }

    private Sample currentSample() {
        return new Sample(
                mClock.nanoTime(),
                mScheduler.queued(),
                mScheduler.running(),
                mScheduler.pendingPromptTokens(),
                mScheduler.kvCacheUsage());
    }

    private void recordSample() {
        mSamples.add(currentSample());
    }

    private Sample laggedSample() {
        if (mLagNanos <= 0) {
            return currentSample();
        }
        long now = mClock.nanoTime();
        Sample laggedSample = mSamples.peek();
        while (mSamples.size() > 1 && now - laggedSample.takenNanos() > mLagNanos) {
            mSamples.poll();
            Sample next = mSamples.peek();
            if (now - next.takenNanos() < mLagNanos) {
                mSamples.addFirst(laggedSample);
                break;
            }
            laggedSample = next;
        }
        return laggedSample;
    }

    private long ageMillis(Sample sample) {
        return TimeUnit.NANOSECONDS.toMillis(mClock.nanoTime() - sample.takenNanos());
    }

    /** Returns the report as the value of the header {@code X-Load}. */
    String header() {
        Sample sample = laggedSample();
        return String.format(
                Locale.ROOT,
                "queued=%d;running=%d;prompt-tokens=%d;kv=%.3f;age-millis=%d",
                sample.queued(),
                sample.running(),
                sample.promptTokens(),
                sample.kvCacheUsage(),
                ageMillis(sample));
    }

    /** Returns the report as JSON, with the field names of the header in camel case. */
    ObjectNode toJson() {
        Sample sample = laggedSample();
        return Json.object()
                .put("queued", sample.queued())
                .put("running", sample.running())
                .put("promptTokens", sample.promptTokens())
                .put("kv", sample.kvCacheUsage())
                .put("ageMillis", ageMillis(sample));
    }

    private record Sample(
            long takenNanos, int queued, int running, long promptTokens, double kvCacheUsage) {}
}
