package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class EndpointSuspicionTest {
    private static final int PROCESSES = 8;
    private static final double EXPECTED_NANOS = 100e6;

    private final ManualClock mClock = ManualClock.create();
    private final EndpointSuspicion mEngine = new EndpointSuspicion(mClock, 0, true);
    private final EndpointSuspicion mPlainEndpoint = new EndpointSuspicion(mClock, 0, false);

    private void pass(long millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    /** Guards against an engine that is silent for ever because the queue there keeps growing. */
    @Test
    void growingQueueDoesNotExcuseSilence() {
        for (int i = 1; i <= 20; i++) {
            mEngine.awaits(i * EXPECTED_NANOS);
            pass(50);
        }
        assertThat(mEngine.isActive(), is(true));
        assertThat(mEngine.hasEvidence(), is(true));
    }

    /** Guards against a limit that stays long after one long prompt. */
    @Test
    void limitFollowsTheRequestsAfterAResponse() {
        mEngine.awaits(100 * EXPECTED_NANOS);
        mEngine.responded();
        mEngine.awaits(EXPECTED_NANOS);
        pass(900);
        assertThat(mEngine.isActive(), is(true));
    }

    /** Guards against a fleet that suspects a plain endpoint because of a few long requests. */
    @Test
    void longPlainRequestIsNoEvidenceForOthers() {
        mPlainEndpoint.awaits(EXPECTED_NANOS);
        pass(900);
        assertThat(mPlainEndpoint.isActive(), is(true));
        assertThat(mPlainEndpoint.hasEvidence(), is(false));
        mPlainEndpoint.awaitsNoLonger();
        assertThat(mPlainEndpoint.hasEvidence(), is(false));
    }

    /** Guards against processes behind a bad link that keep all others from sound endpoints. */
    @Test
    void freshResponseOutweighsTheEvidenceOfOthers() {
        mEngine.responded();
        pass(100);
        mEngine.updatePeers(2, PROCESSES);
        assertThat(mEngine.isActive(), is(false));
        pass(300);
        mEngine.updatePeers(2, PROCESSES);
        assertThat(mEngine.isActive(), is(true));
    }

    /** Guards against an endpoint that is tried every second while it keeps losing requests. */
    @Test
    void suspicionLastsLongerWhenItComesBack() {
        mEngine.lost();
        pass(1_001);
        assertThat(mEngine.isActive(), is(false));
        mEngine.lost();
        pass(1_900);
        assertThat(mEngine.isActive(), is(true));
        pass(200);
        assertThat(mEngine.isActive(), is(false));
    }

    /** Guards against an endpoint that responds again long before it is used. */
    @Test
    void suspicionLastsFourSecondsAtMost() {
        for (int i = 0; i < 10; i++) {
            mEngine.lost();
            pass(4_001);
            assertThat(mEngine.isActive(), is(false));
        }
    }

    /** Guards against intervals that stay long after a time without losses. */
    @Test
    void laterFailureIsSuspectedForTheFirstIntervalAgain() {
        mEngine.lost();
        pass(1_500);
        mEngine.lost();
        pass(10_000);
        mEngine.lost();
        pass(1_001);
        assertThat(mEngine.isActive(), is(false));
    }

    /** Guards against a process that avoids an endpoint which has just responded to it. */
    @Test
    void responseEndsSuspicionAndEvidence() {
        mEngine.lost();
        mEngine.responded();
        assertThat(mEngine.isActive(), is(false));
        assertThat(mEngine.hasEvidence(), is(false));
    }

    /**
     * Guards against a response before a loss that keeps the process from hearing that others have
     * lost requests, too.
     */
    @Test
    void ownLossOutweighsAnEarlierResponse() {
        mEngine.responded();
        mEngine.lost();
        pass(200);
        mEngine.updatePeers(2, PROCESSES);
        pass(900);
        assertThat(mEngine.isActive(), is(true));
    }

    /** Guards against a fleet of two in which no process can hear of the losses of the other. */
    @Test
    void oneOtherProcessIsEnoughInFleetOfTwo() {
        mEngine.updatePeers(1, PROCESSES);
        assertThat(mEngine.isActive(), is(false));
        mEngine.updatePeers(1, 2);
        assertThat(mEngine.isActive(), is(true));
    }

    /** Guards against a long prompt that makes a sound engine suspected. */
    @Test
    void silenceIsThreeTimesTheExpectedTime() {
        mEngine.awaits(10 * EXPECTED_NANOS);
        pass(2_999);
        assertThat(mEngine.isActive(), is(false));
        pass(502);
        assertThat(mEngine.isActive(), is(true));
    }

    /** Guards against a silent engine that gets the next prompt as soon as a caller has left. */
    @Test
    void silenceIsSuspectedAfterItsCallerHasLeft() {
        mEngine.awaits(EXPECTED_NANOS);
        pass(900);
        mEngine.awaitsNoLonger();
        assertThat(mEngine.isActive(), is(true));
        assertThat(mEngine.hasEvidence(), is(true));
        pass(1_001);
        assertThat(mEngine.isActive(), is(false));
        assertThat(mEngine.hasEvidence(), is(false));
    }
}
