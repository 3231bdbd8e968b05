package org.sesamedeck.gateway.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sesamedeck.gateway.duty.SimulatedDutyPlatform.Fate;

/** Tests the usage reports of a fleet whose hosts, store, links and platform fail. */
class UsageReportTest {
    /**
     * With this offset no request begins nearer to the end of a window than a datagram takes, by
     * which the estimate of the true time is off.
     */
    private static final Duration START = Duration.ofMillis(15_016);

    private static final Duration TICK = Duration.ofMillis(20);
    private static final int ACCOUNTS = 6;
    private static final double TOLERANCE = 0.05;

    private SimulatedFleet mFleet = new SimulatedFleet(8, false, 1);

    private void serve(int seconds) {
        mFleet.serve(Duration.ofSeconds(seconds), TICK, ACCOUNTS);
    }

    /** Lets the holder be found before traffic starts. */
    private void start() {
        mFleet.advance(START);
    }

    /** Ends traffic and lets the last reports be sent. */
    private void finish() {
        mFleet.advance(Duration.ofSeconds(25));
    }

    private static boolean isWithin(long reported, long truth, double tolerance) {
        return Math.abs(reported - truth) <= Math.max(tolerance * truth, 0.5);
    }

    /** Returns the windows whose report is missing or wrong. */
    private List<String> wrong(double tolerance) {
        List<String> wrong = new ArrayList<>();
        mFleet.truth()
                .forEach(
                        (window, truth) -> {
                            var report = mFleet.platform().reports().get(window);
                            boolean isRight =
                                    report != null
                                            && truth.entrySet().stream()
                                                    .allMatch(
                                                            entry ->
                                                                    isWithin(
                                                                            report.getOrDefault(
                                                                                    entry.getKey(),
                                                                                    0L),
                                                                            entry.getValue(),
                                                                            tolerance));
                            if (!isRight) {
                                wrong.add(window + ": " + report + " instead of " + truth);
                            }
                        });
        return wrong;
    }

    /** Returns the windows whose report was accepted after it was due. */
    private List<Long> late() {
        return mFleet.platform().reportedMillis().entrySet().stream()
                .filter(
                        entry ->
                                entry.getValue() - SimulatedFleet.SCHEDULE.endMillis(entry.getKey())
                                        > SimulatedFleet.SCHEDULE.lateness().toMillis())
                .map(entry -> entry.getKey())
                .toList();
    }

    private void assertAllReported(double tolerance) {
        assertThat(mFleet.platform().broken(), empty());
        assertThat(mFleet.truth().size(), greaterThan(3));
        assertThat(wrong(tolerance), empty());
    }

    /** Guards against missing, late and inexact reports while nothing fails. */
    @Test
    void quietFleetReportsEveryWindowExactlyAndOnTime() {
        start();
        serve(60);
        finish();
        assertAllReported(0);
        assertThat(late(), empty());
        assertThat(mFleet.platform().holders(), hasSize(1));
    }

    /** Guards against counts that are lost with a datagram; each is sent again before it is due. */
    @Test
    void lostDatagramsAreMadeUpFor() {
        mFleet.setDatagramLoss(0.1);
        start();
        serve(60);
        finish();
        assertAllReported(TOLERANCE);
        assertThat(late(), empty());
    }

    /** Guards against windows that are lost with a killed holder, at each moment of a window. */
    @Test
    void killedHolderLosesNoWindow() {
        for (int millis = 0; millis < 5_000; millis += 250) {
            mFleet = new SimulatedFleet(8, false, millis);
            start();
            serve(20);
            mFleet.serve(Duration.ofMillis(millis), TICK, ACCOUNTS);
            SimulatedFleet.Member killed = mFleet.holder();
            killed.host().kill();
            mFleet.serve(Duration.ofSeconds(2), TICK, ACCOUNTS);
            mFleet.add(killed.name());
            serve(25);
            finish();
            assertThat(mFleet.platform().broken(), empty());
            assertThat(
                    mFleet.platform().reports().keySet().containsAll(mFleet.truth().keySet()),
                    is(true));
            assertThat("killed at " + millis + ": " + late(), late(), empty());
        }
    }

    /** Guards against the loss of more than the last seconds of a killed host. */
    @Test
    void countsOfKilledHolderAreKeptByNextInLine() {
        start();
        serve(24);
        mFleet.holder().host().kill();
        serve(20);
        finish();
        long truth = 0;
        long reported = 0;
        for (var window : mFleet.truth().entrySet()) {
            truth += total(window.getValue());
            reported +=
                    total(
                            mFleet.platform()
                                    .reports()
                                    .getOrDefault(window.getKey(), new TreeMap<>()));
        }
        assertThat(mFleet.platform().broken(), empty());
        // One host of eight serves some 6 requests a second and sends them every 2 s.
        assertThat(truth - reported, lessThan(20L));
        assertThat(reported, greaterThan(0L));
    }

    private static long total(java.util.SortedMap<String, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Guards against gaps and late reports when hosts are stopped one after the other. */
    @Test
    void plannedStopOfHolderDelaysNoReport() {
        start();
        serve(20);
        for (int i = 0; i < 3; i++) {
            SimulatedFleet.Member stopped = mFleet.holder();
            stopped.duties().stop();
            serve(6);
            stopped.duties().flush();
            stopped.host().kill();
            mFleet.add(stopped.name());
            serve(8);
        }
        finish();
        assertAllReported(TOLERANCE);
        assertThat(late(), empty());
        assertThat(mFleet.platform().holders().size(), greaterThanOrEqualTo(3));
    }

    /** Guards against reports on an old right after a pause, and against two for one window. */
    @Test
    void pausedHolderIsReplacedAndSendsNothingOld() {
        for (boolean isSuspended : new boolean[] {false, true}) {
            for (int millis = 0; millis < 5_000; millis += 250) {
                mFleet = new SimulatedFleet(4, false, millis);
                start();
                serve(20);
                mFleet.serve(Duration.ofMillis(millis), TICK, ACCOUNTS);
                SimulatedFleet.Member paused = mFleet.holder();
                if (isSuspended) {
                    paused.host().suspend();
                } else {
                    paused.host().freeze();
                }
                serve(12);
                paused.host().resume();
                serve(15);
                finish();
                assertThat(mFleet.platform().broken(), empty());
                assertThat(mFleet.platform().holders(), hasSize(2));
            }
        }
    }

    /** Guards against a holder that goes on without the store. */
    @Test
    void holderThatIsCutOffFromStoreIsReplaced() {
        start();
        serve(20);
        SimulatedFleet.Member cut = mFleet.holder();
        cut.host().fakeStore().setUnavailable(true);
        serve(20);
        cut.host().fakeStore().setUnavailable(false);
        serve(20);
        finish();
        assertAllReported(TOLERANCE);
        assertThat(late(), empty());
    }

    /** Guards against windows that are lost while the store is down. */
    @Test
    void outageOfStoreDelaysReportsAndLosesNone() {
        start();
        serve(20);
        mFleet.members().forEach(member -> member.host().fakeStore().setUnavailable(true));
        serve(20);
        mFleet.members().forEach(member -> member.host().fakeStore().setUnavailable(false));
        serve(20);
        finish();
        assertAllReported(TOLERANCE);
    }

    /** Guards against windows that are lost while the platform's API fails in any way. */
    @Test
    void failingPlatformDelaysReportsAndLosesNone() {
        for (Fate fate : Fate.values()) {
            mFleet = new SimulatedFleet(4, false, fate.ordinal());
            start();
            serve(10);
            mFleet.platform().setFates(call -> fate);
            serve(40);
            mFleet.platform().setFates(call -> Fate.ANSWERED);
            serve(20);
            finish();
            assertAllReported(TOLERANCE);
        }
    }

    /** Guards against a platform that is asked more often than it allows while it refuses. */
    @Test
    void refusingPlatformIsNotFlooded() {
        start();
        serve(10);
        mFleet.platform().setFates(call -> Fate.RATE_LIMITED);
        int before = mFleet.platform().calls();
        serve(30);
        assertThat(mFleet.platform().calls() - before, lessThan(4 * 30));
    }

    /** Guards against windows that follow the time of day of a host whose clock was stepped. */
    @Test
    void steppedClocksMoveNoCountsToOtherWindows() {
        start();
        mFleet.members().get(1).host().stepTimeOfDay(Duration.ofSeconds(30));
        mFleet.members().get(2).host().stepTimeOfDay(Duration.ofSeconds(-7));
        mFleet.holder().host().stepTimeOfDay(Duration.ofSeconds(4));
        serve(40);
        finish();
        assertAllReported(TOLERANCE);
        assertThat(late(), empty());
    }

    /** Guards against reports of windows by processes that started with a wrong time of day. */
    @Test
    void hostThatStartsWithWrongTimeIsCorrected() {
        start();
        mFleet.add("host-9").host().stepTimeOfDay(Duration.ofSeconds(20));
        mFleet.advance(Duration.ofSeconds(10));
        serve(40);
        finish();
        assertAllReported(TOLERANCE);
    }

    /** Guards against messages and calls that grow with the square of the fleet. */
    @Test
    void priceOfLargeFleetIsBounded() {
        mFleet = new SimulatedFleet(83, false, 1);
        start();
        long datagrams = mFleet.datagrams();
        long writes = mFleet.storeWrites();
        long reads = mFleet.storeReads();
        mFleet.serve(Duration.ofSeconds(30), Duration.ofMillis(3), 84);
        assertThat((mFleet.datagrams() - datagrams) / 30, lessThan(83L * 2));
        assertThat((mFleet.storeWrites() - writes) / 30.0, lessThan(1.5));
        assertThat((mFleet.storeReads() - reads) / 30.0, lessThan(6.0));
        assertThat(mFleet.platform().broken(), empty());
        assertThat(mFleet.platform().reports().keySet(), not(empty()));
    }
}
