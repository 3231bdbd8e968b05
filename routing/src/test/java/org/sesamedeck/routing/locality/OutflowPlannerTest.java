package org.sesamedeck.routing.locality;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class OutflowPlannerTest {
    private static final HostLocation HOME = new HostLocation("east-a", "east");
    private static final HostLocation NEAR = new HostLocation("east-b", "east");
    private static final HostLocation FAR = new HostLocation("west-a", "west");
    private static final Duration ROUND = Duration.ofMillis(200);
    private static final int ENDPOINTS = 4;

    private final ManualClock mClock = ManualClock.create();
    private final OutflowPlanner mPlanner = planner(HOME);
    private double mHomeMillis;

    private OutflowPlanner planner(HostLocation location) {
        return new OutflowPlanner(
                mClock,
                new LocalitySettings(
                        location,
                        new LinkCost(2e6, 0, 0),
                        new LinkCost(20e6, 0, 0),
                        Duration.ofSeconds(2).toNanos()));
    }

    private static DomainPressure pressure(HostLocation location, double millis) {
        return new DomainPressure(
                location, ENDPOINTS, millis * 1e6, millis * 1e6, millis > 0 ? 1 : 0);
    }

    /** Plans several rounds during which the wait at home grows. */
    private DomainOutflow grow(
            int rounds, double growthMillis, double nearMillis, double farMillis) {
        DomainOutflow outflow = DomainOutflow.none(Set.of(), 0);
        for (int i = 0; i < rounds; i++) {
            mClock.advance(ROUND);
            mHomeMillis += growthMillis;
            outflow =
                    mPlanner.plan(
                                    List.of(
                                            pressure(HOME, mHomeMillis),
                                            pressure(NEAR, nearMillis),
                                            pressure(FAR, farMillis)))
                            .get();
        }
        return outflow;
    }

    /** Guards against requests that leave though the domain has room. */
    @Test
    void keepsAllWhileWaitsAreEqual() {
        mHomeMillis = 30;
        DomainOutflow outflow = grow(20, 0, 30, 30);
        assertThat(outflow.share(), equalTo(0.0));
        assertThat(outflow.permits(0), equalTo(false));
    }

    /** Guards against a share that is too small or too late for a domain with a growing queue. */
    @Test
    void sendsExcessOfGrowingQueue() {
        DomainOutflow outflow = grow(10, 200, 0, 0);
        assertThat(outflow.share(), greaterThan(0.5));
        assertThat(outflow.domains(), equalTo(Set.of("east-b", "west-a")));
    }

    /** Guards against a far domain that takes requests while a near one has as much room. */
    @Test
    void nearDomainIsFilledFirst() {
        mHomeMillis = 25;
        DomainOutflow outflow = grow(10, 0, 0, 10);
        assertThat(outflow.domains(), equalTo(Set.of("east-b")));
    }

    /** Guards against pushing over a neighbor that is itself full. */
    @Test
    void fullNeighborTakesNothing() {
        mHomeMillis = 4_000;
        DomainOutflow outflow = grow(10, 100, 2_500, 0);
        assertThat(outflow.domains(), equalTo(Set.of("west-a")));
        assertThat(grow(10, 100, 2_500, 2_500).permits(0), equalTo(false));
    }

    /** Guards against a domain that leaves its load to others which have as much too much. */
    @Test
    void keepsAllWhileAllQueuesGrow() {
        double millis = 0;
        DomainOutflow outflow = DomainOutflow.none(Set.of(), 0);
        for (int i = 0; i < 10; i++) {
            mClock.advance(ROUND);
            millis += 100;
            outflow =
                    mPlanner.plan(
                                    List.of(
                                            pressure(HOME, millis),
                                            pressure(NEAR, millis),
                                            pressure(FAR, millis)))
                            .get();
        }
        assertThat(outflow.share(), equalTo(0.0));
        assertThat(outflow.permits(0), equalTo(false));
    }

    /** Guards against two domains that send requests to each other at the same time. */
    @Test
    void onlyOneOfTwoDomainsSends() {
        OutflowPlanner other = planner(NEAR);
        for (int i = 0; i < 200; i++) {
            mClock.advance(ROUND);
            double home = 300 + 300 * Math.sin(i * 0.7);
            double near = 300 + 300 * Math.cos(i * 0.5);
            List<DomainPressure> pressures = List.of(pressure(HOME, home), pressure(NEAR, near));
            boolean isSent = mPlanner.plan(pressures).get().permits(0);
            boolean isReturned = other.plan(pressures).get().permits(0);
            assertThat("round " + i, isSent && isReturned, equalTo(false));
        }
    }

    /** Guards against a share that jumps to nothing, or stays, when the queue has gone. */
    @Test
    void shareReturnsWithinSecond() {
        grow(10, 200, 0, 0);
        double before = grow(1, 200, 0, 0).share();
        mHomeMillis = 0;
        assertThat(grow(1, 0, 0, 0).share(), greaterThan(before - 0.21));
        assertThat(grow(9, 0, 0, 0).share(), lessThan(0.01));
    }

    /** Guards against callers without an endpoint when a domain has lost all of its own. */
    @Test
    void domainWithoutUsableEndpointsIsWeighedWithItsRegion() {
        for (int i = 0; i < 3; i++) {
            mClock.advance(ROUND);
            DomainOutflow outflow =
                    plan(
                            new DomainPressure(HOME, 0, 0, 0, 0),
                            pressure(NEAR, 30),
                            pressure(FAR, 30));
            assertThat(outflow.home(), equalTo(Set.of("east-a", "east-b")));
            assertThat(outflow.permits(0), equalTo(false));
        }
    }

    /** Guards against callers of a domain in which a service has no endpoints at all. */
    @Test
    void domainThatNeverHadEndpointsSendsAllToNearest() {
        DomainOutflow outflow = plan(pressure(NEAR, 30), pressure(FAR, 30));
        assertThat(outflow.home(), equalTo(Set.of()));
        assertThat(outflow.share(), closeTo(1, 0));
        assertThat(outflow.domains(), equalTo(Set.of("east-b")));
    }

    /** Guards against requests that queue at one of two endpoints of their region. */
    @Test
    void regionWithFewEndpointsKeepsNothing() {
        List<DomainPressure> pressures =
                List.of(new DomainPressure(HOME, 2, 0, 0, 0), pressure(FAR, 0));
        assertThat(mPlanner.plan(pressures).isPresent(), equalTo(false));
    }

    private DomainOutflow plan(DomainPressure... pressures) {
        return mPlanner.plan(List.of(pressures)).get();
    }

    /** Guards against processes of a domain that decide differently from the same loads. */
    @Test
    void orderOfLoadsDoesNotMatter() {
        OutflowPlanner other = planner(HOME);
        for (int i = 0; i < 20; i++) {
            mClock.advance(ROUND);
            List<DomainPressure> pressures =
                    new ArrayList<>(
                            List.of(
                                    pressure(HOME, i * 50),
                                    pressure(NEAR, i * 5),
                                    pressure(FAR, i * 3)));
            DomainOutflow outflow = mPlanner.plan(pressures).get();
            Collections.reverse(pressures);
            assertThat(other.plan(pressures).get(), equalTo(outflow));
        }
    }

    /** Guards against a share from loads before a long gap, although the queue is still there. */
    @Test
    void startsAnewAfterGap() {
        assertThat(grow(10, 200, 0, 0).share(), greaterThan(0.5));
        mClock.advance(Duration.ofSeconds(3));
        assertThat(grow(1, 0, 0, 0).share(), equalTo(0.0));
        assertThat(grow(5, 0, 0, 0).share(), greaterThan(0.0));
    }

    /** Guards against a burst that moves to the neighbors before their queues are seen. */
    @Test
    void shareRisesByNoMoreThanOneInThreeTenthsOfASecond() {
        grow(1, 0, 0, 0);
        assertThat(grow(1, 5_000, 0, 0).share(), closeTo(2.0 / 3, 0.01));
    }
}
