package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class DefaultRouterTest {
    private final ManualClock mClock = ManualClock.create();
    private final DefaultRouter mRouter =
            DefaultRouter.create(mClock, RouterSettings.defaults(RoutingFixtures.REGION), "e1", 5);

    private Optional<Assignment> choose(Set<String> excluded) {
        return mRouter.choose(RoutingFixtures.request("gold", "a", Long.MAX_VALUE), excluded);
    }

    private Map<String, Integer> choices(int count, RequestProfile profile) {
        Map<String, Integer> chosen = new HashMap<>();
        for (int i = 0; i < count; i++) {
            mRouter.choose(profile, Set.of())
                    .ifPresent(
                            assignment -> {
                                chosen.merge(assignment.endpoint().name(), 1, Integer::sum);
                                assignment.close();
                            });
        }
        return chosen;
    }

    /**
     * Guards against choosing endpoints that are leaving or changing, or that already failed this
     * request.
     */
    @Test
    void unusableEndpointsAreNeverChosen() {
        mRouter.updateEndpoints(
                List.of(
                        RoutingFixtures.engine("a", EndpointRole.MIXED),
                        RoutingFixtures.engine("b", EndpointRole.MIXED, "tunis", true, false),
                        RoutingFixtures.engine("c", EndpointRole.MIXED, "tunis", false, true),
                        RoutingFixtures.engine("d", EndpointRole.MIXED)));
        for (int i = 0; i < 50; i++) {
            try (Assignment assignment = choose(Set.of("d")).orElseThrow()) {
                assertThat(assignment.endpoint().name(), is("a"));
            }
        }
        mRouter.markLeaving("a");
        assertThat(choose(Set.of("d")).isPresent(), is(false));
        assertThat(choose(Set.of()).orElseThrow().endpoint().name(), is("d"));
        mRouter.clearLeaving("a");
        assertThat(choose(Set.of("d")).orElseThrow().endpoint().name(), is("a"));
    }

    /** Guards against an endpoint that cancelled its drain and is never used again. */
    @Test
    void anUnconfirmedLeavingMarkExpires() {
        List<EndpointDescription> table = List.of(RoutingFixtures.engine("a", EndpointRole.MIXED));
        mRouter.updateEndpoints(table);
        mRouter.markLeaving("a");
        mClock.advance(Duration.ofSeconds(3));
        mRouter.updateEndpoints(table);
        assertThat("the mark holds while the table lags", choose(Set.of()).isPresent(), is(false));
        mClock.advance(Duration.ofSeconds(30));
        mRouter.updateEndpoints(table);
        assertThat(choose(Set.of()).isPresent(), is(true));
    }

    /** Guards against sending every request to the endpoint that a delayed report shows as idle. */
    @Test
    void assignmentsSinceTheReportAddToTheExpectedWait() {
        mRouter.updateEndpoints(RoutingFixtures.engines(4, EndpointRole.MIXED));
        for (int i = 0; i < 4; i++) {
            mRouter.reportLoad("engine-" + i, new LoadReport(0, 0, i == 0 ? 0 : 5_000, 0.1, 0));
        }
        Map<String, Integer> chosen = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            chosen.merge(choose(Set.of()).orElseThrow().endpoint().name(), 1, Integer::sum);
        }
        assertThat(chosen.get("engine-0"), is(greaterThan(10)));
        assertThat(chosen.get("engine-0"), is(lessThan(20)));
    }

    /** Guards against sending requests to another region while the local region has capacity. */
    @Test
    void theLocalRegionIsPreferredUntilItsQueueCostsMore() {
        mRouter.updateEndpoints(
                List.of(
                        RoutingFixtures.engine("near", EndpointRole.MIXED),
                        RoutingFixtures.engine("far", EndpointRole.MIXED, "sfax", false, false)));
        RequestProfile profile = RoutingFixtures.request("gold", "a", Long.MAX_VALUE);
        assertThat(choices(50, profile), is(Map.of("near", 50)));
        mRouter.reportLoad("near", new LoadReport(200, 1, 500_000, 0.5, mClock.nanoTime()));
        assertThat(choices(50, profile), is(Map.of("far", 50)));
    }

    /**
     * Guards against ignoring a cached prefix, and against a popular prefix that attracts all work
     * to its holder.
     */
    @Test
    void prefixHoldersArePreferredUntilTheyAreOverloaded() {
        mRouter.updateEndpoints(RoutingFixtures.engines(8, EndpointRole.MIXED));
        RequestProfile profile =
                new RequestProfile(
                        "gold",
                        "a",
                        RoutingFixtures.MODEL,
                        true,
                        5,
                        6_000,
                        20,
                        new long[] {1, 2, 3},
                        Set.of(),
                        Long.MAX_VALUE);
        mRouter.prefixes().add("engine-3", 3);
        assertThat(choices(20, profile), is(Map.of("engine-3", 20)));
        mRouter.reportLoad("engine-3", new LoadReport(50, 50, 90_000, 0.9, mClock.nanoTime()));
        assertThat(choices(20, profile).containsKey("engine-3"), is(false));
    }

    /** Guards against sending a phase to an engine of the other role, which serves it slowly. */
    @Test
    void phasesAreRoutedToEnginesOfTheirRole() {
        mRouter.updateEndpoints(
                List.of(
                        RoutingFixtures.engine("p", EndpointRole.PREFILL),
                        RoutingFixtures.engine("d", EndpointRole.DECODE)));
        RequestProfile profile = RoutingFixtures.request("gold", "a", Long.MAX_VALUE);
        for (int i = 0; i < 20; i++) {
            try (Assignment prefill =
                            mRouter.choosePhase(profile, RequestPhase.PREFILL, Set.of())
                                    .orElseThrow();
                    Assignment decode =
                            mRouter.choosePhase(profile, RequestPhase.DECODE, Set.of())
                                    .orElseThrow()) {
                assertThat(prefill.endpoint().name(), is("p"));
                assertThat(decode.endpoint().name(), is("d"));
            }
        }
        assertThat(
                "a phase without an engine of its role runs at another one",
                mRouter.choosePhase(profile, RequestPhase.DECODE, Set.of("d")).isPresent(),
                is(true));
    }

    /**
     * Guards against subsets that change entirely when an endpoint is removed, exceed their size,
     * or omit a region.
     */
    @Test
    void theSubsetIsBoundedStableAndCoversRegions() {
        List<EndpointDescription> all = new ArrayList<>();
        for (int i = 0; i < 5_600; i++) {
            String region = List.of("tunis", "sfax", "sousse").get(i % 3);
            all.add(RoutingFixtures.engine("e" + i, EndpointRole.MIXED, region, false, false));
        }
        mRouter.updateEndpoints(all);
        List<EndpointDescription> before = mRouter.subset();
        assertThat(before.size(), is(200));
        for (String region : List.of("sfax", "sousse")) {
            assertThat(
                    before.stream().filter(e -> e.region().equals(region)).count(),
                    is(greaterThanOrEqualTo(20L)));
        }
        all.remove(before.get(70));
        mRouter.updateEndpoints(all);
        List<EndpointDescription> changed = new ArrayList<>(mRouter.subset());
        changed.removeAll(before);
        assertThat(changed.size(), is(lessThanOrEqualTo(1)));
    }

    /** Guards against choosing a failing endpoint again before its retry-after delay has passed. */
    @Test
    void aFailingEndpointIsExcludedUntilAProbeSucceeds() {
        mRouter.updateEndpoints(List.of(RoutingFixtures.engine("a", EndpointRole.MIXED)));
        try (Assignment assignment = choose(Set.of()).orElseThrow()) {
            assignment.failed(Optional.of(Duration.ofSeconds(2)));
        }
        assertThat(choose(Set.of()).isPresent(), is(false));
        mClock.advance(Duration.ofSeconds(2));
        Assignment probe = choose(Set.of()).orElseThrow();
        assertThat(choose(Set.of()).isPresent(), is(false));
        probe.succeeded(1000, 100);
        probe.close();
        assertThat(choose(Set.of()).isPresent(), is(true));
    }
}
