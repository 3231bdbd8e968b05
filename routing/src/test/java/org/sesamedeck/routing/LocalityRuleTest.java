package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.locality.DomainOutflow;
import org.sesamedeck.routing.locality.HostLocation;

/** Tests a process in the first of two failure domains of one region. */
class LocalityRuleTest {
    private static final HostLocation HOME = new HostLocation("domain-0", "region-0");
    private static final HostLocation NEIGHBOR = new HostLocation("domain-1", "region-0");
    private static final int ENGINES = 4;
    private static final long LONG_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

    private final ManualClock mClock = ManualClock.create();
    private final DefaultRouter mRouter =
            DefaultRouter.create(
                    mClock,
                    RouterSettings.defaults(HOME.region())
                            .withBytesPerToken(1)
                            .withLocality(LocalityFleet.locality(0)),
                    "process",
                    5);

    LocalityRuleTest() {
        mRouter.updateEndpoints(endpoints(ENGINES));
    }

    /** Returns the endpoints, of which the last ones of the neighbor are leaving. */
    private static List<EndpointDescription> endpoints(int usableNeighbors) {
        List<EndpointDescription> endpoints = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            endpoints.add(endpoint(HOME, i, false));
            endpoints.add(endpoint(NEIGHBOR, i, i >= usableNeighbors));
        }
        return endpoints;
    }

    private static EndpointDescription endpoint(
            HostLocation location, int index, boolean isLeaving) {
        return new EndpointDescription(
                location.failureDomain() + "-" + index,
                HostAddress.of("10.0.0.1", 80),
                "service",
                location.failureDomain(),
                location.region(),
                true,
                isLeaving,
                false,
                EndpointRole.MIXED,
                Set.of("service"));
    }

    /** Applies the same wait at all engines of a domain; the other domain has none. */
    private void exchangeLoads(HostLocation busy) {
        Map<String, EndpointLoad> loads = new HashMap<>();
        for (int i = 0; i < ENGINES; i++) {
            String name = busy.failureDomain() + "-" + i;
            loads.put(name, new EndpointLoad(name, LONG_WAIT_NANOS, 1));
        }
        mRouter.updatePeerLoad(loads);
    }

    private static RequestProfile profile() {
        return new RequestProfile(
                "", "", "service", true, 5, 2_000, 1, new long[0], Set.of(), 6_000_000_000L);
    }

    private String choose(RequestProfile profile, RequestPhase phase, Set<String> excluded) {
        try (Assignment assignment = mRouter.choosePhase(profile, phase, excluded).orElseThrow()) {
            return assignment.endpoint().failureDomain();
        }
    }

    private Optional<DomainOutflow> outflow() {
        return mRouter.outflows().orElseThrow().current().values().stream().findFirst();
    }

    /** Guards against a retry that waits in a domain whose other requests may not leave yet. */
    @Test
    void onlyRetryComparesAllDomainsWhileShareIsZero() {
        exchangeLoads(HOME);
        assertThat(outflow().orElseThrow().share(), is(0.0));
        assertThat(choose(profile(), RequestPhase.PREFILL, Set.of()), is("domain-0"));
        assertThat(choose(profile(), RequestPhase.PREFILL, Set.of("domain-0-0")), is("domain-1"));
    }

    /** Guards against a KV cache that is fetched from another domain without need. */
    @Test
    void decodeStaysInTheDomainOfItsCache() {
        exchangeLoads(HOME);
        mRouter.updatePeerLoad(Map.of());
        RequestProfile processed = profile().withCacheAt(NEIGHBOR);
        assertThat(choose(processed, RequestPhase.DECODE, Set.of()), is("domain-1"));
    }

    /** Guards against a response that waits for the engines beside its KV cache. */
    @Test
    void decodeLeavesTheDomainOfItsCacheWhenItsEnginesAreBusy() {
        exchangeLoads(NEIGHBOR);
        RequestProfile processed = profile().withCacheAt(NEIGHBOR);
        assertThat(choose(processed, RequestPhase.DECODE, Set.of()), is("domain-0"));
    }

    /** Guards against room that is seen at engines which take no requests. */
    @Test
    void unusableEnginesDoNotCount() {
        exchangeLoads(HOME);
        assertThat(outflow().orElseThrow().home(), is(Set.of("domain-0")));
        mRouter.updateEndpoints(endpoints(ENGINES - 1));
        exchangeLoads(HOME);
        assertThat(outflow().orElseThrow().home(), is(Set.of("domain-0", "domain-1")));
    }

    /** Guards against work of processes whose loads do not arrive and which no one counts. */
    @Test
    void queuesThatEnginesReportCount() {
        for (int round = 0; round < 5; round++) {
            mClock.advance(Duration.ofMillis(200));
            for (int i = 0; i < ENGINES; i++) {
                mRouter.reportLoad(
                        "domain-0-" + i, new LoadReport(9, 1, 20_000, 0, mClock.nanoTime()));
            }
            mRouter.updatePeerLoad(Map.of());
        }
        assertThat(outflow().orElseThrow().homeWaitNanos(), greaterThan(5e8));
        assertThat(outflow().orElseThrow().share(), greaterThan(0.0));
    }
}
