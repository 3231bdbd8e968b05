package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class CircuitBreakerTest {
    private final ManualClock mClock = ManualClock.create();
    private final CircuitBreaker mBreaker = CircuitBreaker.create(mClock);

    private void fail(int times) {
        for (int i = 0; i < times; i++) {
            mBreaker.failed(Optional.empty());
        }
    }

    /** Guards against sending requests indefinitely to an endpoint that fails all of them. */
    @Test
    void opensAfterFiveConsecutiveFailuresAndProbesOnce() {
        fail(4);
        assertThat(mBreaker.allows(), is(true));
        fail(1);
        assertThat(mBreaker.allows(), is(false));

        mClock.advance(Duration.ofSeconds(1));
        assertThat(mBreaker.tryAcquire(), is(true));
        assertThat("a second probe beside the first", mBreaker.tryAcquire(), is(false));
        mBreaker.succeeded();
        assertThat(mBreaker.tryAcquire(), is(true));
        assertThat(mBreaker.tryAcquire(), is(true));
    }

    /**
     * Guards against a breaker that stays closed for an endpoint that fails every other request.
     */
    @Test
    void opensWhenHalfOfTwentyFail() {
        for (int i = 0; i < 9; i++) {
            mBreaker.succeeded();
            fail(1);
        }
        mBreaker.succeeded();
        assertThat(mBreaker.allows(), is(true));
        fail(1);
        assertThat(mBreaker.allows(), is(false));
    }

    /**
     * Guards against requests to an endpoint during its retry-after delay, and against a cancelled
     * probe that blocks all further probes.
     */
    @Test
    void retryAfterIsHonouredAndACancelledProbeIsReleased() {
        mBreaker.failed(Optional.of(Duration.ofSeconds(7)));
        mClock.advance(Duration.ofMillis(6_999));
        assertThat(mBreaker.tryAcquire(), is(false));
        mClock.advance(Duration.ofMillis(1));
        assertThat(mBreaker.tryAcquire(), is(true));
        mBreaker.cancelled();
        assertThat(mBreaker.tryAcquire(), is(true));
    }

    /** Guards against frequent and against concurrent probes of an endpoint that is down. */
    @Property(seed = "17", tries = 100)
    void anUnavailableEndpointReceivesFewProbes(
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        ManualClock clock = ManualClock.create();
        CircuitBreaker breaker = CircuitBreaker.create(clock);
        SplittableRandom random = new SplittableRandom(seed);
        int sent = 0;
        int pending = 0;
        for (int step = 0; step < 6_000; step++) {
            clock.advance(Duration.ofMillis(10));
            if (random.nextInt(3) == 0 && breaker.tryAcquire()) {
                sent++;
                pending++;
            }
            if (pending > 0 && random.nextInt(4) == 0) {
                pending--;
                breaker.failed(Optional.empty());
            }
            if (sent > 30) {
                assertThat(pending, is(lessThanOrEqualTo(1)));
            }
        }
        // One minute: the initial burst, then open intervals of 1, 2, 4, 8, 16 and 30 s.
        assertThat(sent, is(lessThanOrEqualTo(30)));
    }
}
