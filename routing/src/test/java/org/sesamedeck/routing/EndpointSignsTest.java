package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;

class EndpointSignsTest {
    private static final EndpointSigns LEAVING =
            new EndpointSigns(true, Optional.empty(), Optional.empty());
    private static final RequestProfile PROFILE =
            RoutingFixtures.request("gold", "a", Long.MAX_VALUE);

    private final ManualClock mClock = ManualClock.create();
    private final DefaultRouter mRouter = router(5);

    private DefaultRouter router(long seed) {
        return DefaultRouter.create(
                mClock, RouterSettings.defaults(RoutingFixtures.REGION), "e" + seed, seed);
    }

    private static EndpointSigns retryAfter(long millis) {
        return new EndpointSigns(false, Optional.of(Duration.ofMillis(millis)), Optional.empty());
    }

    private static EndpointDescription endpoint(
            String name, int port, Optional<Instant> startedAt) {
        EndpointDescription engine = RoutingFixtures.engine(name, EndpointRole.MIXED);
        return new EndpointDescription(
                name,
                HostAddress.of("127.0.0.1", port),
                engine.service(),
                engine.failureDomain(),
                engine.region(),
                true,
                false,
                false,
                engine.role(),
                engine.models(),
                false,
                Optional.empty(),
                startedAt);
    }

    private static Optional<Instant> second(long second) {
        return Optional.of(Instant.ofEpochSecond(second));
    }

    private boolean isChosen() {
        Optional<Assignment> assignment = mRouter.choose(PROFILE, Set.of());
        assignment.ifPresent(Assignment::close);
        return assignment.isPresent();
    }

    /**
     * Guards against new requests to a process that has stated that it leaves while the store lists
     * it as ready, removes its entry and lists it again.
     */
    @Test
    void leavingEndsOnlyWithAnotherProcess() {
        EndpointDescription first = endpoint("a", 80, second(1));
        mRouter.updateEndpoints(List.of(first));
        assertThat(mRouter.applySigns(first, LEAVING).isPresent(), is(true));
        assertThat("logged once", mRouter.applySigns(first, LEAVING).isPresent(), is(false));
        assertThat(isChosen(), is(false));
        assertThat(mRouter.accepts(first), is(false));
        mClock.advance(Duration.ofMinutes(10));
        mRouter.updateEndpoints(List.of(first));
        assertThat("listed as ready after minutes", isChosen(), is(false));
        mRouter.updateEndpoints(List.of());
        mRouter.updateEndpoints(List.of(first));
        assertThat("listed again", isChosen(), is(false));
        EndpointDescription second = endpoint("a", 80, second(2));
        mRouter.updateEndpoints(List.of(second));
        assertThat("another process under the name", isChosen(), is(true));
        assertThat(mRouter.accepts(second), is(true));
    }

    /** Guards against a response of an ended process that excludes its successor. */
    @Test
    void signsOfAnEarlierProcessDoNotConcernItsSuccessor() {
        EndpointDescription first = endpoint("a", 80, second(1));
        EndpointDescription moved = endpoint("a", 81, Optional.empty());
        mRouter.updateEndpoints(List.of(endpoint("a", 80, second(2))));
        mRouter.applySigns(first, LEAVING);
        mRouter.applySigns(first, retryAfter(5_000));
        assertThat(isChosen(), is(true));
        mRouter.updateEndpoints(List.of(first));
        assertThat(isChosen(), is(false));
        mRouter.updateEndpoints(List.of(moved));
        assertThat("another address is another process", isChosen(), is(true));
    }

    /** Guards against a process that is excluded for ever because its start was not known. */
    @Test
    void startThatBecomesKnownBelongsToTheLeavingProcess() {
        EndpointDescription unknown = endpoint("a", 80, Optional.empty());
        mRouter.updateEndpoints(List.of(unknown));
        mRouter.applySigns(unknown, LEAVING);
        mRouter.updateEndpoints(List.of(endpoint("a", 80, second(1))));
        assertThat(isChosen(), is(false));
        mRouter.updateEndpoints(List.of(endpoint("a", 80, second(2))));
        assertThat(isChosen(), is(true));
    }

    /** Guards against probes of the circuit breaker during the time that an endpoint asked for. */
    @Test
    void holdIsNeitherShortenedNorProbed() {
        EndpointDescription endpoint = endpoint("a", 80, second(1));
        mRouter.updateEndpoints(List.of(endpoint));
        Assignment first = mRouter.choose(PROFILE, Set.of()).orElseThrow();
        Assignment onItsWay = mRouter.choose(PROFILE, Set.of()).orElseThrow();
        mRouter.applySigns(endpoint, retryAfter(3_000));
        first.failed(Optional.of(Duration.ofMillis(40)));
        first.close();
        mRouter.applySigns(endpoint, retryAfter(10));
        onItsWay.succeeded(1_000, 10);
        onItsWay.close();
        for (int elapsed = 0; elapsed < 3_000; elapsed += 10) {
            assertThat("after " + elapsed + " ms", isChosen(), is(false));
            mClock.advance(Duration.ofMillis(10));
        }
        mClock.advance(Duration.ofMillis(750));
        Assignment probe = mRouter.choose(PROFILE, Set.of()).orElseThrow();
        assertThat("one request at first", isChosen(), is(false));
        probe.succeeded(1_000, 10);
        probe.close();
        assertThat(isChosen(), is(true));
    }

    /** Guards against telling callers to return while all endpoints still want no requests. */
    @Test
    void timeUntilUsableIsThatOfTheFirstEndpoint() {
        List<EndpointDescription> endpoints = RoutingFixtures.engines(3, EndpointRole.MIXED);
        mRouter.updateEndpoints(endpoints);
        mRouter.applySigns(endpoints.get(0), retryAfter(4_000));
        mRouter.applySigns(endpoints.get(1), retryAfter(2_000));
        assertThat(mRouter.timeUntilUsable(PROFILE), is(Optional.empty()));
        mRouter.applySigns(endpoints.get(2), LEAVING);
        Duration time = mRouter.timeUntilUsable(PROFILE).orElseThrow();
        assertThat(time, is(greaterThanOrEqualTo(Duration.ofMillis(2_000))));
        assertThat(time, is(lessThanOrEqualTo(Duration.ofMillis(2_500))));
        mClock.advance(time.minusMillis(1));
        assertThat(isChosen(), is(false));
        mClock.advance(Duration.ofMillis(1));
        assertThat(isChosen(), is(true));
    }

    /** Guards against many processes that return to an endpoint in the same instant. */
    @Test
    void processesReturnAtDifferentTimes() {
        EndpointDescription endpoint = endpoint("a", 80, second(1));
        Set<Duration> times = new HashSet<>();
        for (int process = 0; process < 490; process++) {
            DefaultRouter router = router(process);
            router.updateEndpoints(List.of(endpoint));
            times.add(router.applySigns(endpoint, retryAfter(2_000)).orElseThrow().time().get());
        }
        assertThat(times.size(), is(greaterThan(450)));
        for (int slice = 0; slice < 10; slice++) {
            long from = 2_000 + 50L * slice;
            long count =
                    times.stream()
                            .filter(time -> time.toMillis() >= from && time.toMillis() < from + 50)
                            .count();
            assertThat(count, is(lessThanOrEqualTo(490 / 5L)));
        }
    }
}
