package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;

/** Deployments with one failure domain in each region. */
class SingleDomainTest {
    private static final int REQUESTS = 2_000;

    /** Returns the endpoints of a sequence of requests with loads, failures and both phases. */
    private static List<String> assignments(boolean hasLocality) {
        ManualClock clock = ManualClock.create();
        RouterSettings settings =
                RouterSettings.defaults("region-0")
                        .withTraits(new EngineTraits(true, true, 25, 110e6));
        DefaultRouter router =
                DefaultRouter.create(
                        clock,
                        hasLocality ? settings.withLocality(LocalityFleet.locality(0)) : settings,
                        "process",
                        11);
        router.updateEndpoints(endpoints());
        SplittableRandom random = new SplittableRandom(3);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clock.advance(Duration.ofMillis(random.nextInt(20)));
            if (i % 7 == 0) {
                EndpointLoad load = new EndpointLoad("engine-" + i % 24, 50_000_000L * (i % 5), 3);
                router.updatePeerLoad(Map.of(load.endpoint(), load));
            }
            RequestPhase phase = RequestPhase.values()[i % RequestPhase.values().length];
            Set<String> excluded = i % 11 == 0 ? Set.of("engine-" + i % 24) : Set.of();
            RequestProfile profile = request(clock, random, i);
            router.choosePhase(profile, phase, excluded)
                    .ifPresent(
                            assignment -> {
                                names.add(assignment.endpoint().name());
                                if (random.nextInt(3) > 0) {
                                    assignment.firstToken();
                                    assignment.close();
                                }
                            });
            router.expectedStartNanos(profile, phase);
        }
        return names;
    }

    private static RequestProfile request(ManualClock clock, SplittableRandom random, int index) {
        long[] prefixes = {index % 40, index % 40 * 100 + index % 3};
        return new RequestProfile(
                "plan",
                "account",
                "model",
                true,
                5,
                500 + random.nextInt(5_000),
                20,
                prefixes,
                Set.of(),
                clock.nanoTime() + 1_000_000_000L);
    }

    private static List<EndpointDescription> endpoints() {
        List<EndpointDescription> endpoints = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            endpoints.add(
                    new EndpointDescription(
                            "engine-" + i,
                            HostAddress.of("10.0.0.1", 80),
                            "service",
                            "domain-" + i % 3,
                            "region-" + i % 3,
                            true,
                            false,
                            false,
                            i % 4 == 0 ? EndpointRole.PREFILL : EndpointRole.DECODE,
                            Set.of("model")));
        }
        return endpoints;
    }

    /** Guards against a changed choice where a region has one failure domain. */
    @Test
    void choicesAreThoseWithoutLocality() {
        List<String> expected = assignments(false);
        assertThat(expected.size(), equalTo(REQUESTS));
        assertThat(assignments(true), equalTo(expected));
    }
}
