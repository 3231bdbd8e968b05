package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamedeck.core.ManualClock;

/** Replays load on endpoints of uneven speed, with few and with many deciding processes. */
class UnevenEndpointsTest {
    private static final int SEEDS = 4;
    private static final int HELD_ENDPOINTS = 2;

    /** More than for whole runs, since a hold of three seconds has few requests. */
    private static final int HOLD_SEEDS = 20;

    private static final long RUN_MILLIS = 34_000;

    /**
     * The estimate of earlier versions, for comparison: one mean a process and endpoint, in which
     * short times have ten times the weight of long ones, without the reported pace.
     */
    private static final class EarlierSpeed implements SpeedEstimate {
        private double mFactor = 1;

        @Override
        public void learn(double ratio, double weight, double pace) {
            double rate = ratio < mFactor ? 0.1 : 0.01;
            mFactor += rate * weight * (ratio - mFactor);
        }

        @Override
        public void paceReported(double pace, long observedAtNanos) {}

        @Override
        public double pace() {
            return 1;
        }

        @Override
        public double factor() {
            return mFactor;
        }
    }

    private static SpeedEstimate.Factory earlier(ManualClock clock) {
        return EarlierSpeed::new;
    }

    private static SpeedEstimate.Factory learned(ManualClock clock) {
        return () -> new LearnedSpeed(clock);
    }

    private static double onTime(
            UnevenFleet.Workload workload,
            int processes,
            double load,
            UnevenFleet.SpeedEstimateChoice speeds) {
        double sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum += new UnevenFleet(workload, processes, speeds, seed).run(load, RUN_MILLIS);
        }
        return sum / SEEDS;
    }

    /**
     * Guards against work that is late at slow endpoints while faster ones have room, and against
     * processes that all turn to the fastest endpoint and queue there.
     */
    @ParameterizedTest
    @CsvSource({"PLAIN,8,0.45", "PLAIN,8,0.6", "PLAIN,83,0.45", "PLAIN,83,0.6"})
    void moreRequestsAreOnTimeThanBefore(
            UnevenFleet.Workload workload, int processes, double load) {
        double before = onTime(workload, processes, load, UnevenEndpointsTest::earlier);
        double after = onTime(workload, processes, load, UnevenEndpointsTest::learned);
        assertThat(after, greaterThanOrEqualTo(before));
    }

    /**
     * Guards against requests that are lost at endpoints which refuse all of them at the worst
     * load, and against more than one request from a process to each of those meanwhile.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 83})
    void aThirdOfTheEndpointsHoldsOffAtTheWorstLoad(int processes) {
        double servedBefore = 0;
        double servedAfter = 0;
        for (int seed = 1; seed <= HOLD_SEEDS; seed++) {
            servedBefore += heldFleet(processes, seed, false).served() / HOLD_SEEDS;
            UnevenFleet after = heldFleet(processes, seed, true);
            servedAfter += after.served() / HOLD_SEEDS;
            assertThat(after.refusals(), lessThanOrEqualTo(HELD_ENDPOINTS * processes));
        }
        assertThat(servedAfter, greaterThan(servedBefore));
    }

    private static UnevenFleet heldFleet(int processes, int seed, boolean appliesSigns) {
        UnevenFleet fleet =
                new UnevenFleet(
                        UnevenFleet.Workload.PLAIN, processes, UnevenEndpointsTest::learned, seed);
        fleet.run(0.35, 3_000);
        fleet.hold(HELD_ENDPOINTS, 3_000, appliesSigns);
        fleet.run(0.35, 3_000);
        return fleet;
    }
}
