package org.sesamedeck.emulator.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;

/** Tests the response checks of the load test tool, which every end-to-end test relies on. */
final class LoadRunTest {
    private static final Clock CLOCK = SystemClock.create();

    private static LoadSettings settings(HostAddress entry, double rate, double idempotencyShare) {
        return new LoadSettings(
                List.of(entry),
                List.of(),
                List.of("key"),
                List.of("house-judge"),
                Optional.of("cookbook-app"),
                rate,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0.8,
                idempotencyShare,
                Duration.ofSeconds(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(20),
                7);
    }

    /** Sends the first request of the given kind in the plan. */
    private static LoadTestRequestOutcome runOne(
            StubEntry entry, LoadTestRequestKind kind, double idempotencyShare) throws Exception {
        LoadSettings settings = settings(entry.address(), 1000, idempotencyShare);
        RequestPlan plan = RequestPlan.of(settings, "test");
        PlannedRequest request = plan.next().orElseThrow();
        while (request.kind() != kind) {
            request = plan.next().orElseThrow();
        }
        try (EntryBalancer balancer = EntryBalancer.start(settings.entries(), settings.admins())) {
            return LoadRun.runOne(request, balancer, CLOCK, settings.clientTimeout());
        }
    }

    /** Guards against a damaged response that is counted as a full response. */
    @ParameterizedTest
    @CsvSource({
        "END_EARLY, TRUNCATED",
        "REPEAT_EVENT, DUPLICATED",
        "REPEAT_END, DUPLICATED",
        "FOREIGN_RESPONSE, FOREIGN"
    })
    void detectsDamagedResponses(StubEntry.Fault fault, String detail) throws Exception {
        try (StubEntry entry = StubEntry.start(fault)) {
            LoadTestRequestOutcome outcome = runOne(entry, LoadTestRequestKind.SUMMARY, 0);
            assertThat(outcome.result(), is(LoadTestRequestOutcome.Result.WRONG));
            assertThat(outcome.detail(), equalTo(detail));
        }
    }

    /** Guards against a resume that drops or repeats text, or that restarts the request. */
    @Test
    void resumesAnInterruptedStreamAfterTheLastEvent() throws Exception {
        try (StubEntry entry =
                StubEntry.start(
                        StubEntry.Fault.BREAK_AFTER_THREE, StubEntry.Fault.BREAK_AFTER_THREE)) {
            LoadTestRequestOutcome outcome = runOne(entry, LoadTestRequestKind.SUMMARY, 1);
            assertThat(outcome.result(), is(LoadTestRequestOutcome.Result.WHOLE));
            List<String> retryHeaders = new ArrayList<>(entry.retryHeaders());
            assertThat(retryHeaders.size(), is(3));
            assertThat(retryHeaders.get(1), containsString(" 3"));
            assertThat(retryHeaders.get(2), containsString(" 6"));
            assertThat(
                    retryHeaders.get(2).split(" ")[0], equalTo(retryHeaders.get(0).split(" ")[0]));
        }
    }

    /** Guards against a lost stream that is resumed indefinitely instead of restarted. */
    @Test
    void restartsALostStream() throws Exception {
        try (StubEntry entry =
                StubEntry.start(StubEntry.Fault.BREAK_AFTER_THREE, StubEntry.Fault.STREAM_LOST)) {
            LoadTestRequestOutcome outcome = runOne(entry, LoadTestRequestKind.SUMMARY, 0);
            assertThat(outcome.result(), is(LoadTestRequestOutcome.Result.WHOLE));
            assertThat(entry.retryHeaders(), contains("- -", "- 3", "- -"));
        }
    }

    /**
     * Guards against retries that the result code forbids, and against a service call of unknown
     * outcome that is sent again without an Idempotency-Key or with another one.
     */
    @Test
    void retriesOnlyWhenTheResultCodeAllows() throws Exception {
        try (StubEntry entry =
                StubEntry.start(StubEntry.Fault.OVERLOADED, StubEntry.Fault.NOT_ENTITLED)) {
            LoadTestRequestOutcome outcome = runOne(entry, LoadTestRequestKind.ONE_STEP, 0);
            assertThat(outcome.result(), is(LoadTestRequestOutcome.Result.REFUSED));
            assertThat(outcome.refusals(), contains("OVERLOADED", "NOT_ENTITLED"));
        }
        try (StubEntry entry = StubEntry.start(StubEntry.Fault.OUTCOME_UNKNOWN)) {
            LoadTestRequestOutcome outcome = runOne(entry, LoadTestRequestKind.SERVICE, 0);
            assertThat(outcome.result(), is(LoadTestRequestOutcome.Result.UNKNOWN));
            assertThat(entry.retryHeaders().size(), is(1));
        }
        try (StubEntry entry = StubEntry.start(StubEntry.Fault.BREAK_BEFORE_RESPONSE)) {
            LoadTestRequestOutcome outcome = runOne(entry, LoadTestRequestKind.SERVICE, 0);
            assertThat(outcome.result(), is(LoadTestRequestOutcome.Result.UNKNOWN));
            assertThat(entry.retryHeaders().size(), is(1));
        }
        try (StubEntry entry =
                StubEntry.start(
                        StubEntry.Fault.OUTCOME_UNKNOWN, StubEntry.Fault.BREAK_BEFORE_RESPONSE)) {
            LoadTestRequestOutcome outcome = runOne(entry, LoadTestRequestKind.SERVICE, 1);
            assertThat(outcome.result(), is(LoadTestRequestOutcome.Result.WHOLE));
            assertThat(entry.retryHeaders().stream().distinct().count(), is(1L));
        }
    }

    /** Guards against planned requests that are missing from the report. */
    @Test
    void reportCountsEveryPlannedRequest() throws Exception {
        try (StubEntry entry =
                StubEntry.start(
                        StubEntry.Fault.END_EARLY,
                        StubEntry.Fault.OVERLOADED,
                        StubEntry.Fault.NOT_ENTITLED)) {
            LoadSettings settings = settings(entry.address(), 40, 0.5);
            RequestPlan plan = RequestPlan.of(settings, "count");
            long planned = 0;
            while (plan.next().isPresent()) {
                planned++;
            }
            try (EntryBalancer balancer =
                    EntryBalancer.start(settings.entries(), settings.admins())) {
                LoadTestReport report = LoadRun.of(settings, CLOCK, balancer, progress -> {}).run();
                assertThat(report.requests(), is(planned));
                assertThat(report.faultyResponses(), is(1L));
                assertThat(report.permanentlyRefusedRequests(), is(1L));
                assertThat(report.fullResponses(), is(planned - 2));
                assertThat(report.goodputPerSecond(), greaterThan(0.0));
                assertThat(report.toTable(), containsString("TRUNCATED=1"));
            }
        }
    }
}
