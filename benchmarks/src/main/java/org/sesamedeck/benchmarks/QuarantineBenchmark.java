package org.sesamedeck.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.quarantine.PartKey;
import org.sesamedeck.routing.quarantine.PartQuarantine;
import org.sesamedeck.routing.quarantine.PartReport;
import org.sesamedeck.routing.quarantine.QuarantineListener;
import org.sesamedeck.routing.quarantine.QuarantinedPart;

/** Measures what the quarantine of prompt parts adds to a request and to a round of messages. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class QuarantineBenchmark {
    private static final int CRASHES_PER_PART = 16;
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(100);

    /** Parts with evidence against them; 512 is the most that a process keeps. */
    @Param({"0", "512"})
    private int mSuspects;

    private ManualClock mClock;
    private PartQuarantine mQuarantine;
    private List<PartKey> mPrompt;
    private long mAnswers;

    /** Fills the evidence with crashes that are reported by other processes. */
    @Setup(Level.Iteration)
    public void prepare() {
        mClock = ManualClock.create();
        mClock.advance(Duration.ofMinutes(1));
        mQuarantine = PartQuarantine.create(mClock, "process-0", QuarantineListener.ignoring());
        List<PartReport> reports = new ArrayList<>();
        for (int part = 0; part < mSuspects; part++) {
            for (int crash = 0; crash < CRASHES_PER_PART; crash++) {
                reports.add(
                        new PartReport(
                                PartKey.of("models/m", 1_000 + part),
                                PartReport.Kind.INTERRUPTED,
                                2,
                                "engine-" + part + "-" + crash,
                                "process-" + crash % 4,
                                mClock.nanoTime() - TimeUnit.MILLISECONDS.toNanos(crash * 200)));
            }
        }
        mQuarantine.receive(reports);
        mPrompt = List.of(PartKey.of("models/m", 1), PartKey.of("models/m", 2));
    }

    /** The check of a request and the record of its answer. */
    @Benchmark
    public Optional<QuarantinedPart> request() {
        Optional<QuarantinedPart> found = mQuarantine.find(mPrompt);
        mQuarantine.answered(
                List.of(mPrompt.get(0), PartKey.of("models/m", 10_000_000 + mAnswers++ % 5_000)),
                mClock.nanoTime());
        return found;
    }

    /** A round of messages: the evaluation of all evidence and the reports to send. */
    @Benchmark
    public List<PartReport> round() {
        mClock.advance(ROUND_INTERVAL);
        return mQuarantine.takeReports();
    }
}
