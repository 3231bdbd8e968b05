package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;

class LeavingEndpointPolicyTest {
    private static final Duration SHORT = Duration.ofMillis(100);
    private static final Duration LONG = Duration.ofMillis(1_200);

    private final LeavingEndpointPolicy mPolicy =
            LeavingEndpointPolicy.create(Duration.ofSeconds(4));

    private static EndpointDescription endpoint(boolean isLeaving, Optional<Duration> within) {
        return new EndpointDescription(
                "engine",
                HostAddress.of("10.0.0.1", 80),
                "models",
                "east-a",
                "east",
                true,
                isLeaving,
                false,
                EndpointRole.DECODE,
                Set.of(),
                true,
                within,
                Optional.empty());
    }

    private boolean accepts(EndpointDescription endpoint, long sinceMillis, Duration expected) {
        return mPolicy.accepts(endpoint, Duration.ofMillis(sinceMillis), expected);
    }

    /** Guards against keeping work from an endpoint that stays. */
    @Test
    void endpointThatStaysGetsAllWork() {
        assertThat(accepts(endpoint(false, Optional.empty()), 0, Duration.ofHours(1)), is(true));
    }

    /** Guards against work that is cut off when all engines of a domain are taken away at once. */
    @Test
    void domainThatIsTakenAwayGetsOnlyWhatEndsBefore() {
        List<EndpointDescription> domain = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            domain.add(endpoint(true, Optional.of(Duration.ofMillis(2_400))));
        }
        for (EndpointDescription endpoint : domain) {
            assertThat(accepts(endpoint, 0, SHORT), is(true));
            assertThat(accepts(endpoint, 0, LONG), is(false));
            assertThat(accepts(endpoint, 1_700, SHORT), is(true));
            assertThat(accepts(endpoint, 1_900, SHORT), is(false));
        }
    }

    /** Guards against work for an endpoint that may end at any moment. */
    @Test
    void endpointWithoutEndGetsNothing() {
        assertThat(accepts(endpoint(true, Optional.empty()), 0, Duration.ZERO), is(false));
    }

    /** Guards against work sent later than a leaving endpoint may get it. */
    @Test
    void nothingIsSentAfterTheLeavingBound() {
        EndpointDescription slow = endpoint(true, Optional.of(Duration.ofMinutes(1)));
        assertThat(accepts(slow, 3_500, SHORT), is(true));
        assertThat(accepts(slow, 3_600, SHORT), is(false));
    }
}
