package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.locality.DomainOutflow;
import org.sesamedeck.routing.locality.ServiceRole;

class RoutingExplanationTest {
    private static final RequestProfile PROFILE =
            RoutingFixtures.request("gold", "a", Long.MAX_VALUE);

    private final ManualClock mClock = ManualClock.create();

    private DefaultRouter router() {
        return DefaultRouter.create(
                mClock, RouterSettings.defaults(RoutingFixtures.REGION), "e1", 5);
    }

    private void reportRandomLoads(DefaultRouter router, int engines, SplittableRandom random) {
        for (int i = 0; i < engines; i++) {
            router.reportLoad(
                    "engine-" + i,
                    new LoadReport(
                            random.nextInt(20),
                            random.nextInt(5),
                            random.nextInt(50_000),
                            0.1,
                            mClock.nanoTime()));
        }
    }

    private static Map<String, Optional<CandidateExclusion>> exclusions(
            RoutingExplanation explanation) {
        return explanation.candidates().stream()
                .collect(
                        Collectors.toMap(
                                CandidateExplanation::endpoint, CandidateExplanation::exclusion));
    }

    /** Guards against an explanation that follows other rules than the choice of a request. */
    @Test
    void explanationNamesTheEndpointOfTheNextChoice() {
        DefaultRouter router = router();
        router.updateEndpoints(RoutingFixtures.engines(2, EndpointRole.MIXED));
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < 200; i++) {
            mClock.advance(Duration.ofMillis(40));
            reportRandomLoads(router, 2, random);
            RoutingExplanation explanation = router.explain(PROFILE, RequestPhase.WHOLE, Set.of());
            try (Assignment next = router.choose(PROFILE, Set.of()).orElseThrow()) {
                assertThat(explanation.chosen(), is(Optional.of(next.endpoint().name())));
            }
            assertThat(explanation.candidates().get(0).endpoint(), is(explanation.chosen().get()));
        }
    }

    /** Guards against explanations that draw from the random numbers of requests. */
    @Test
    void explanationsChangeNoLaterChoice() {
        assertThat(choices(true), is(choices(false)));
    }

    private static List<String> choices(boolean explains) {
        RoutingExplanationTest run = new RoutingExplanationTest();
        DefaultRouter router = run.router();
        router.updateEndpoints(RoutingFixtures.engines(16, EndpointRole.MIXED));
        SplittableRandom random = new SplittableRandom(12);
        List<String> chosen = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            run.mClock.advance(Duration.ofMillis(5));
            if (i % 20 == 0) {
                run.reportRandomLoads(router, 16, random);
            }
            for (RequestPhase phase : explains ? RequestPhase.values() : new RequestPhase[0]) {
                router.explain(PROFILE, phase, Set.of());
            }
            chosen.add(router.choose(PROFILE, Set.of()).orElseThrow().endpoint().name());
        }
        return chosen;
    }

    /** Guards against an explanation that takes the only probe of a circuit breaker. */
    @Test
    void explanationLeavesTheProbeToARequest() {
        DefaultRouter router = router();
        router.updateEndpoints(RoutingFixtures.engines(1, EndpointRole.MIXED));
        try (Assignment failing = router.choose(PROFILE, Set.of()).orElseThrow()) {
            failing.failed(Optional.of(Duration.ofSeconds(2)));
        }
        RoutingExplanation whileOpen = router.explain(PROFILE, RequestPhase.WHOLE, Set.of());
        assertThat(whileOpen.chosen(), is(Optional.empty()));
        assertThat(
                exclusions(whileOpen),
                is(Map.of("engine-0", Optional.of(CandidateExclusion.BREAKER_OPEN))));
        mClock.advance(Duration.ofSeconds(2));
        assertThat(
                router.explain(PROFILE, RequestPhase.WHOLE, Set.of()).chosen(),
                is(Optional.of("engine-0")));
        assertThat(router.choose(PROFILE, Set.of()).isPresent(), is(true));
    }

    /** Guards against a candidate that is left out without its own reason. */
    @Test
    void eachCandidateHasItsOwnReason() {
        DefaultRouter router = router();
        EndpointDescription held = RoutingFixtures.engine("held", EndpointRole.MIXED);
        router.updateEndpoints(
                List.of(
                        RoutingFixtures.engine("a", EndpointRole.MIXED),
                        RoutingFixtures.engine("leaving", EndpointRole.MIXED, "tunis", true, false),
                        RoutingFixtures.engine(
                                "changing", EndpointRole.MIXED, "tunis", false, true),
                        RoutingFixtures.engine("avoided", EndpointRole.MIXED),
                        RoutingFixtures.engine("far", EndpointRole.MIXED, "sfax", false, false),
                        RoutingFixtures.engine("prefill", EndpointRole.PREFILL),
                        held));
        router.applySigns(
                held,
                new EndpointSigns(false, Optional.of(Duration.ofSeconds(5)), Optional.empty()));
        RoutingExplanation explanation =
                router.explain(PROFILE.inRegion("tunis"), RequestPhase.DECODE, Set.of("avoided"));
        assertThat(
                exclusions(explanation),
                is(
                        Map.of(
                                "a", Optional.empty(),
                                "leaving", Optional.of(CandidateExclusion.LEAVING),
                                "changing", Optional.of(CandidateExclusion.CHANGING),
                                "avoided", Optional.of(CandidateExclusion.AVOIDED),
                                "far", Optional.of(CandidateExclusion.OUTSIDE_REGION),
                                "prefill", Optional.of(CandidateExclusion.WRONG_ROLE),
                                "held", Optional.of(CandidateExclusion.HELD))));
    }

    /** Guards against reasons and load ages that hide what the choice did not know. */
    @Test
    void samplesMemoryAndUnknownLoadsAreStated() {
        DefaultRouter router = router();
        router.updateEndpoints(RoutingFixtures.engines(16, EndpointRole.MIXED));
        router.reportLoad("engine-0", new LoadReport(0, 0, 10, 0.1, mClock.nanoTime()));
        mClock.advance(Duration.ofMillis(70));
        RoutingExplanation explanation = router.explain(PROFILE, RequestPhase.WHOLE, Set.of());
        long compared =
                explanation.candidates().stream()
                        .filter(candidate -> candidate.exclusion().isEmpty())
                        .count();
        long notSampled =
                explanation.candidates().stream()
                        .filter(
                                candidate ->
                                        candidate
                                                .exclusion()
                                                .equals(
                                                        Optional.of(
                                                                CandidateExclusion.NOT_SAMPLED)))
                        .count();
        assertThat(compared + notSampled, is(16L));
        for (CandidateExplanation candidate : explanation.candidates()) {
            assertThat(candidate.cost().isPresent(), is(candidate.exclusion().isEmpty()));
            assertThat(
                    candidate.loadAge(),
                    is(
                            candidate.endpoint().equals("engine-0")
                                    ? Optional.of(Duration.ofMillis(70))
                                    : Optional.empty()));
        }
        router.updateEngineMemory(Map.of("tasting-models", 500L));
        RoutingExplanation full = router.explain(PROFILE, RequestPhase.WHOLE, Set.of());
        assertThat(
                Set.copyOf(exclusions(full).values()),
                is(Set.of(Optional.of(CandidateExclusion.NO_ROOM))));
    }

    /** Guards against hiding that a request is kept in some failure domains. */
    @Test
    void domainsThatWereNotSearchedAreNamed() {
        DefaultRouter router =
                DefaultRouter.create(
                        mClock,
                        RouterSettings.defaults("region-0").withLocality(LocalityFleet.locality(0)),
                        "e1",
                        5);
        List<EndpointDescription> engines = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            engines.add(inDomain(i, i % LocalityFleet.DOMAINS));
        }
        router.updateEndpoints(engines);
        router.updatePeerLoad(Map.of());
        Map<String, Optional<CandidateExclusion>> exclusions =
                exclusions(router.explain(PROFILE, RequestPhase.WHOLE, Set.of()));
        DomainOutflow outflow =
                router.outflows()
                        .orElseThrow()
                        .current(new ServiceRole("tasting-models", EndpointRole.DECODE))
                        .orElseThrow();
        assertThat(outflow.home().contains("domain-1"), is(false));
        for (int i = 0; i < engines.size(); i++) {
            boolean isOutside =
                    exclusions
                            .get("engine-" + i)
                            .equals(Optional.of(CandidateExclusion.OUTSIDE_DOMAIN));
            boolean isHome = outflow.home().contains(engines.get(i).failureDomain());
            assertThat("engine-" + i, isOutside, is(!isHome));
        }
    }

    private static EndpointDescription inDomain(int number, int domain) {
        return new EndpointDescription(
                "engine-" + number,
                HostAddress.of("10.0.0." + (number + 1), 80),
                "tasting-models",
                "domain-" + domain,
                "region-" + domain % 3,
                true,
                false,
                false,
                EndpointRole.MIXED,
                Set.of(RoutingFixtures.MODEL));
    }

    /** Guards against a start that differs from the one by which phases are split. */
    @Test
    void expectedStartIsThatOfThePhaseSplit() {
        DefaultRouter router = router();
        router.updateEndpoints(RoutingFixtures.engines(1, EndpointRole.MIXED));
        router.reportLoad("engine-0", new LoadReport(3, 1, 9_000, 0.1, mClock.nanoTime()));
        OptionalLong start = router.expectedStartNanos(PROFILE, RequestPhase.WHOLE);
        assertThat(
                router.explain(PROFILE, RequestPhase.WHOLE, Set.of()).expectedStart(),
                is(Optional.of(Duration.ofNanos(start.getAsLong()))));
    }
}
