package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class TransitDelaysTest {
    private final ManualClock mClock = ManualClock.create();
    private final TransitDelays mDelays = new TransitDelays(mClock);

    private Duration excess(long incarnation, long sentMillis) {
        LoadMessage message =
                new LoadMessage(
                        "node-b",
                        incarnation,
                        1,
                        LoadScope.PROCESS,
                        List.of(),
                        List.of(),
                        List.of(),
                        Optional.empty(),
                        1,
                        sentMillis);
        return Duration.ofNanos(mDelays.excessNanos(message));
    }

    /** Guards against the offset of two clocks that is taken for a delay, or hides one. */
    @Test
    void excessIsMeasuredFromTheFastestMessage() {
        assertThat(excess(1, 5_000_000), is(Duration.ZERO));
        mClock.advance(Duration.ofMillis(200));
        assertThat(excess(1, 5_000_100), is(Duration.ofMillis(100)));
        mClock.advance(Duration.ofMillis(200));
        assertThat(excess(1, 5_000_500), is(Duration.ZERO));
        mClock.advance(Duration.ofSeconds(3));
        assertThat(excess(1, 5_000_500), is(Duration.ofSeconds(3)));
    }

    /** Guards against clocks of two runs of a process that are compared with each other. */
    @Test
    void restartedSenderIsMeasuredAnew() {
        excess(1, 5_000_000);
        mClock.advance(Duration.ofSeconds(1));
        assertThat(excess(2, 1), is(Duration.ZERO));
        mClock.advance(Duration.ofSeconds(1));
        assertThat(excess(2, 501), is(Duration.ofMillis(500)));
    }

    /** Guards against clocks of different speed whose drift adds up to a delay. */
    @Test
    void oldMinimumIsForgotten() {
        excess(1, 1);
        for (int second = 0; second < 620; second++) {
            mClock.advance(Duration.ofSeconds(1));
            excess(1, 1 + second * 1_000L);
        }
        assertThat(excess(1, 1 + 619 * 1_000L), is(Duration.ZERO));
    }

    /** Guards against messages of earlier versions, which carry no time. */
    @Test
    void messageWithoutTimeHasNoExcess() {
        excess(1, 5_000);
        mClock.advance(Duration.ofSeconds(9));
        assertThat(excess(1, 0), is(Duration.ZERO));
    }
}
