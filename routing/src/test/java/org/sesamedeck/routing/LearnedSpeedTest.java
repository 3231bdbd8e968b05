package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class LearnedSpeedTest {
    private final ManualClock mClock = ManualClock.create();
    private final LearnedSpeed mSpeed = new LearnedSpeed(mClock);

    private void learn(int count, double ratio) {
        for (int i = 0; i < count; i++) {
            mSpeed.learn(ratio, 1, 1);
        }
    }

    /** Guards against one slow response that makes an endpoint count as slow. */
    @Test
    void confidenceGrowsWithTheNumberOfObservations() {
        learn(1, 2);
        assertThat(mSpeed.factor(), closeTo(Math.sqrt(2), 0.01));
        learn(9, 2);
        assertThat(mSpeed.factor(), closeTo(1.88, 0.01));
    }

    /** Guards against an endpoint that has become faster and is taken to be slow for ever. */
    @Test
    void changedEndpointIsKnownAfterAsManyRequests() {
        learn(1_000, 2);
        learn(60, 0.5);
        assertThat(mSpeed.factor(), closeTo(0.5, 0.1));
    }

    /** Guards against never trying a slow endpoint again. */
    @Test
    void observationsFade() {
        learn(20, 3);
        double before = mSpeed.factor();
        mClock.advance(Duration.ofMinutes(10));
        assertThat(mSpeed.factor(), lessThan(1 + (before - 1) / 4));
        assertThat(mSpeed.factor(), greaterThan(1.0));
    }

    /** Guards against a pace that still counts when the host has long been at its usual speed. */
    @Test
    void paceReturnsToUsualWithinASecond() {
        mSpeed.paceReported(2.5, mClock.nanoTime());
        assertThat(mSpeed.factor(), closeTo(2.5, 0.01));
        mClock.advance(Duration.ofMillis(1_000));
        assertThat(mSpeed.factor(), closeTo(1, 0.06));
    }

    /** Guards against a momentary pace that is learned as lasting speed. */
    @Test
    void paceIsNotLearnedAsSpeed() {
        for (int i = 0; i < 10; i++) {
            mSpeed.learn(2.5 * 1.7, 1, 2.5);
        }
        assertThat(mSpeed.factor(), closeTo(1.62, 0.01));
    }
}
