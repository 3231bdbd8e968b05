package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RetryAfterDelayTest {
    private static final Duration MINIMUM = Duration.ofMillis(250);

    /** Guards against callers that were refused together and retry together. */
    @Test
    void delaysOfOneBurstAreJittered() {
        Set<Duration> times = new HashSet<>();
        Duration queueWait = Duration.ofSeconds(2);
        for (int i = 0; i < 100; i++) {
            Duration time = RetryAfterDelay.of(MINIMUM, queueWait, "request-" + i);
            assertThat(time.toMillis() >= 1_500 && time.toMillis() <= 2_500, is(true));
            times.add(time);
        }
        assertThat(times.size(), greaterThan(50));
    }

    /** Guards against a delay so long that no caller follows it, and against no delay at all. */
    @Test
    void delaysStayWithinBounds() {
        Duration maximum = RetryAfterDelay.of(MINIMUM, Duration.ofMinutes(5), "a");
        assertThat(maximum.toMillis() <= 3_125, is(true));
        Duration minimum = RetryAfterDelay.of(MINIMUM, Duration.ZERO, "a");
        assertThat(minimum.toMillis() >= 187, is(true));
    }
}
