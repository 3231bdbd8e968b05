package org.sesamedeck.emulator.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.emulator.response.ChatRequest;

/** Tests admission order, KV cache limit and step costs of the scheduler in simulated time. */
final class BatchSchedulerTest {
    private static final long FAR_DEADLINE_NANOS = Duration.ofHours(1).toNanos();

    private final ManualClock mClock = ManualClock.create();
    private final SimulatedScheduler mSimulatedScheduler = SimulatedScheduler.of(mClock);
    private final List<String> mFinished = new ArrayList<>();
    private long mLastArrivalNumber;

    private BatchScheduler scheduler(EngineRole role, int batchSize, int kvCacheTokens) {
        EngineSettings settings =
                new EngineSettings(
                        "engine-1",
                        HostAddress.of("127.0.0.1", 0),
                        List.of("m"),
                        role,
                        true,
                        10_000,
                        Duration.ofMillis(8),
                        Duration.ofNanos(200_000),
                        batchSize,
                        100,
                        kvCacheTokens,
                        10,
                        64,
                        Duration.ofSeconds(4),
                        Duration.ofSeconds(2),
                        Duration.ZERO,
                        Duration.ofSeconds(30),
                        Duration.ZERO,
                        Duration.ZERO,
                        0,
                        1e6);
        return BatchScheduler.of(
                settings,
                mClock,
                mSimulatedScheduler.executor(),
                PrefixCache.of(10, CacheEventLog.of(mClock, settings)),
                sequence -> {
                    if (sequence.isFinished()) {
                        mFinished.add(sequence.requestId() + " " + sequence.state());
                    }
                });
    }

    private Sequence sequence(
            String name, int promptTokens, int outputTokens, int priority, long deadlineNanos) {
        // Each prompt is different, so that the prefix cache does not shorten its prefill.
        String prompt = name + "x".repeat(promptTokens * 4 - name.length() - 1);
        ObjectNode body = EngineFixture.body(prompt, outputTokens);
        return Sequence.of(
                name, ChatRequest.parse(body), priority, deadlineNanos, ++mLastArrivalNumber);
    }

    /** Guards against an engine that ignores priorities or starts requests past their deadline. */
    @Test
    void startsByPriorityAndRefusesExpiredRequests() {
        BatchScheduler scheduler = scheduler(EngineRole.MIXED, 1, 10_000);
        scheduler.submit(sequence("first", 10, 5, 1, FAR_DEADLINE_NANOS));
        scheduler.submit(sequence("low", 10, 5, 1, FAR_DEADLINE_NANOS));
        scheduler.submit(sequence("late", 10, 5, 9, 1));
        scheduler.submit(sequence("high", 10, 5, 8, FAR_DEADLINE_NANOS));
        scheduler.submit(sequence("next-high", 10, 5, 8, FAR_DEADLINE_NANOS));
        mSimulatedScheduler.runAll();
        assertThat(
                mFinished,
                contains("first DONE", "late REFUSED", "high DONE", "next-high DONE", "low DONE"));
    }

    /** Guards against a batch that exceeds the KV cache memory. */
    @Test
    void queuesUntilKvCacheMemoryIsFree() {
        BatchScheduler scheduler = scheduler(EngineRole.MIXED, 8, 100);
        scheduler.submit(sequence("first", 50, 10, 5, FAR_DEADLINE_NANOS));
        scheduler.submit(sequence("second", 50, 10, 5, FAR_DEADLINE_NANOS));
        assertThat(scheduler.running(), is(1));
        assertThat(scheduler.queued(), is(1));
        mSimulatedScheduler.runAll();
        assertThat(mFinished.size(), is(2));
        assertThat(scheduler.kvCacheUsage(), equalTo(0.0));
    }

    /**
     * Guards against a role change that cancels running sequences or leaves queued requests without
     * a response.
     */
    @Test
    void quiescesAfterRunningSequences() {
        BatchScheduler scheduler = scheduler(EngineRole.MIXED, 1, 10_000);
        scheduler.submit(sequence("running", 10, 5, 5, FAR_DEADLINE_NANOS));
        scheduler.submit(sequence("waiting", 10, 5, 5, FAR_DEADLINE_NANOS));
        scheduler.quiesce(() -> mFinished.add("stopped"));
        mSimulatedScheduler.runAll();
        assertThat(mFinished, contains("waiting REFUSED", "running DONE", "stopped"));
    }

    /** Runs a batch of equal requests; returns the simulated time that it takes. */
    private Duration runRequests(
            EngineRole role, int requests, int promptTokens, int outputTokens) {
        BatchScheduler scheduler = scheduler(role, 16, 1_000_000);
        for (int i = 0; i < requests; i++) {
            scheduler.submit(
                    sequence(
                            role + "-" + i + "-",
                            promptTokens,
                            outputTokens,
                            5,
                            FAR_DEADLINE_NANOS * 100));
        }
        return mSimulatedScheduler.runAll();
    }

    /** Guards against roles without an effect on costs, which would hide faulty role planning. */
    @Test
    void rolesDifferInPrefillAndDecodeCost() {
        Duration prefillPrompts = runRequests(EngineRole.PREFILL, 20, 1000, 1);
        Duration mixedPrompts = runRequests(EngineRole.MIXED, 20, 1000, 1);
        Duration decodePrompts = runRequests(EngineRole.DECODE, 20, 1000, 1);
        assertThat(prefillPrompts, lessThan(mixedPrompts));
        assertThat(mixedPrompts, lessThan(decodePrompts));
        Duration prefillOutput = runRequests(EngineRole.PREFILL, 32, 10, 200);
        Duration mixedOutput = runRequests(EngineRole.MIXED, 32, 10, 200);
        Duration decodeOutput = runRequests(EngineRole.DECODE, 32, 10, 200);
        assertThat(decodeOutput, lessThan(mixedOutput));
        assertThat(mixedOutput, lessThan(prefillOutput));
        // The prefill of 8,000 tokens takes 800 ms at 10,000 tokens per second.
        Duration prefillAndDecode = runRequests(EngineRole.MIXED, 8, 1000, 100);
        assertThat(prefillAndDecode, greaterThan(Duration.ofMillis(800)));
    }
}
