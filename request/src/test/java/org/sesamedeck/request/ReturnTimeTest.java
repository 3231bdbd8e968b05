package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ReturnTimeTest {
    private static final Duration SHORTEST = Duration.ofMillis(250);

    /** Guards against callers that were refused together and come back together. */
    @Test
    void callersOfOneBurstAreSpread() {
        Set<Duration> times = new HashSet<>();
        Duration line = Duration.ofSeconds(2);
        for (int i = 0; i < 100; i++) {
            Duration time = ReturnTime.of(SHORTEST, line, "request-" + i);
            assertThat(time.toMillis() >= 1_500 && time.toMillis() <= 2_500, is(true));
            times.add(time);
        }
        assertThat(times.size(), greaterThan(50));
    }

    /** Guards against advice that no caller follows, and against none at all. */
    @Test
    void timesStayWithinBounds() {
        Duration longest = ReturnTime.of(SHORTEST, Duration.ofMinutes(5), "a");
        assertThat(longest.toMillis() <= 3_125, is(true));
        Duration shortest = ReturnTime.of(SHORTEST, Duration.ZERO, "a");
        assertThat(shortest.toMillis() >= 187, is(true));
    }
}
